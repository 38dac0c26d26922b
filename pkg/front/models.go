package front

import (
	"net/http"
)

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (f *Front) serveModels(w http.ResponseWriter, r *http.Request) {
	state, _, failure := f.identify(r)
	if failure != nil {
		writeError(w, failure)
		return
	}
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, model := range state.Models() {
		service, _ := state.ServiceOfModel(model)
		list.Data = append(list.Data, modelEntry{ID: model, Object: "model", OwnedBy: service.Name})
	}
	writeJSON(w, http.StatusOK, list)
}
