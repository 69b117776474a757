package lease

// Zone is an availability zone with the lease of its holder.
type Zone struct {
	Name  string
	Lease *Lease
}
