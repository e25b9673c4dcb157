package rollout

import (
	"encoding/json"
	"fmt"
)

// encode returns the stored encoding of a value. It panics if the value can't be encoded, which
// does not happen for the plain data types of this package.
func encode(value any) json.RawMessage {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("rollout: encode %T: %v", value, err))
	}
	return raw
}
