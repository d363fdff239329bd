package replica

import (
	"github.com/balsamlb/balsamlb/formlevel"
	"github.com/balsamlb/balsamlb/replica/wire"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// commandLevelField and snapshotLevelField are the numbers of the fields level.
	commandLevelField  = 14
	snapshotLevelField = 10
)

// commandFields are the fields of a command that this build knows.
var commandFields = (&wire.Command{}).ProtoReflect().Descriptor().Fields()

// CommandLevel returns the level that a replica must know to apply an encoded command, which is
// formlevel.Unknown if the command has a field that this build does not know.
func CommandLevel(data []byte) (formlevel.Level, error) {
	level := formlevel.Base
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeField(data)
		if size < 0 {
			return 0, eris.Wrap(protowire.ParseError(size), "replica: decode command")
		}
		if commandFields.ByNumber(number) == nil {
			return formlevel.Unknown, nil
		}
		if number == commandLevelField && kind == protowire.VarintType {
			level = max(level, varintField(data))
		}
		data = data[size:]
	}
	return level, nil
}

// SnapshotLevel returns the level in force in a snapshot without decoding the rest.
func SnapshotLevel(data []byte) (formlevel.Level, error) {
	level := formlevel.Base
	for len(data) > 0 {
		number, kind, size := protowire.ConsumeField(data)
		if size < 0 {
			return 0, eris.Wrap(protowire.ParseError(size), "replica: decode snapshot")
		}
		if number == snapshotLevelField && kind == protowire.VarintType {
			level = max(level, varintField(data))
		}
		data = data[size:]
	}
	return level, nil
}

// varintField returns the value of the field at the start of valid data.
func varintField(data []byte) formlevel.Level {
	_, _, n := protowire.ConsumeTag(data)
	v, _ := protowire.ConsumeVarint(data[n:])
	return formlevel.Level(min(v, uint64(formlevel.Unknown)))
}
