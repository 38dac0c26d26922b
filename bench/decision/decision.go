// Package decision holds the measurement of the product's decisions. It has
// only tests: they drive dispatch.Planner in virtual time beside simpler
// policies, print a table of figures and fail when a bound breaks.
package decision
