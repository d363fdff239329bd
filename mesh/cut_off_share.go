package mesh

// cutOffShare is how many of the gateways that watch a control instance are cut off from all backend servers.
type cutOffShare int

const (
	cutOffNone cutOffShare = iota
	cutOffSome
	cutOffMost
)

// newCutOffShare returns the share. It stays what it was while it is near one half, since each gateway that connects
// changes it.
func newCutOffShare(before cutOffShare, cutOff, gateways int) cutOffShare {
	switch {
	case cutOff == 0:
		return cutOffNone
	case 4*cutOff >= 3*gateways:
		return cutOffMost
	case before == cutOffMost && 4*cutOff > gateways:
		return cutOffMost
	default:
		return cutOffSome
	}
}
