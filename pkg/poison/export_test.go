package poison

// CountRenewals returns the number of parts with a stored renewal.
func (r *PartRegister) CountRenewals() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.renewals)
}

// SurvivalsPerCrash is the number of completed runs after which a crash no longer counts.
const SurvivalsPerCrash = survivalsPerCrash
