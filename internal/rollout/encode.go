package rollout

import (
	"encoding/json"
	"fmt"
)

// encode returns the stored encoding of a value made of plain data, which always encodes.
func encode(value any) json.RawMessage {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("rollout: encode %T: %v", value, err))
	}
	return raw
}
