package ownership

import "bamboorail.example/bamboorail"

// Error is the error type of the package.
type Error struct{ bamboorail.Failure }
