// Package wire defines the JSON messages that users, controllers, workers, the cloud and the
// key-value store exchange. It validates the requests of users and workers, and ignores unknown
// fields.
//
// The protocols use names of their own. These occur only in this package's JSON tags and string
// constants; the rest of the program uses the usual terms:
//
//	protocol                  here
//	baton                     fencing token
//	batch, daemon (shape)     job array, service
//	call, calls               operation, commands
//	cards                     GPUs
//	cause                     exit reason
//	charter                   idempotency key of a launch request
//	crew                      team
//	driftwood                 spot instance
//	egg, eggs                 task, tasks
//	ended, flushing, halted   exited, saving a checkpoint, stopped
//	flock                     class of jobs
//	harbour                   controller to report to
//	heldS                     age
//	hull                      machine type
//	kept                      checkpoint saved
//	launch                    attempt
//	logmark, stamp            revision of the store, of a key
//	mooring, lifeMs           lease, its time to live
//	moultS, stowS             checkpoint interval, time to save one
//	perch                     machine
//	plumage                   image
//	rank                      priority
//	reap                      forget an exited task
//	reckonS, dueS             estimated run time, deadline
//	report                    heartbeat
//	samePlace, shore          single zone, zone
//	slackS                    grace period
//	state service             key-value store
//	tide                      state
//	warningS                  termination notice
//	watch, tally              agent incarnation, heartbeat sequence number (of a worker)
//	withdrawn                 cancelled
//	write, drop, news         put, delete, events
package wire
