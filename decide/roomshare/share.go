package roomshare

// minShare is the least share of a gateway as a part of the even share, so that a gateway that has
// just started can place requests.
const minShare = 0.1

// Share returns a gateway's share of the free memory of an endpoint, from 0 to 1: its part of the
// demand of all gateways that may use the endpoint's hall. near is the demand of the other gateways
// of that hall, far that of the other gateways of other halls, and remoteWeight the part of the
// latter that may come to this hall. For a gateway of another hall own is already weighted. size is
// the number of gateways in the fleet.
func Share(own, near, far, remoteWeight float64, size int) float64 {
	even := 1 / float64(max(size, 1))
	total := own + near + remoteWeight*far
	if total <= 0 {
		return even
	}
	return max(own/total, minShare*even)
}
