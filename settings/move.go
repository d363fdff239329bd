package settings

import (
	"slices"
	"time"
)

// Move is the planned retirement of a group of backend servers, to be finished by a date.
type Move struct {
	Name    string
	Service string
	// Either DataCentre or Servers selects which servers of the service are retired.
	DataCentre string
	Servers    []string
	// Start is when the first server is drained; zero means immediately.
	Start time.Time
	// Date is when the last server must be idle.
	Date time.Time
}

func (r *reader) move(sources []source, name, file string, services map[string]Service) Move {
	section := "move " + name
	m := Move{
		Name:       name,
		Service:    r.value(sources, section, "service"),
		DataCentre: r.value(sources, section, "data_centre"),
		Servers:    splitList(r.value(sources, section, "servers")),
	}
	m.Start, _ = time.Parse(time.RFC3339, r.value(sources, section, "start"))
	m.Date, _ = time.Parse(time.RFC3339, r.value(sources, section, "date"))
	slices.Sort(m.Servers)
	if _, ok := services[m.Service]; !ok {
		r.addFault(file, section, "service", m.Service, "must name a service")
	}
	if (m.DataCentre == "") == (len(m.Servers) == 0) {
		r.addFault(file, section, "data_centre", m.DataCentre, "either data_centre or servers is required")
	}
	if m.Date.IsZero() {
		r.addFault(file, section, "date", "", "is required")
	}
	if !m.Start.IsZero() && !m.Start.Before(m.Date) {
		r.addFault(file, section, "start", m.Start.Format(time.RFC3339), "must be before the date")
	}
	return m
}

func dateTime(v string) string {
	if v == "" {
		return ""
	}
	if _, err := time.Parse(time.RFC3339, v); err != nil {
		return "must be a date and time such as 2027-03-31T18:00:00Z"
	}
	return ""
}
