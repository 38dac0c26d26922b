package capacity

import (
	"math"
	"time"
)

// wireReport is the evidence of one host on one service since its last report.
type wireReport struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Arrivals int
	// Milliseconds is the length of the time that the report covers.
	Milliseconds uint32
	// Endpoints contains the endpoints that the host used.
	Endpoints []wireSums
	// Prior contains what the host knows from another aggregator. It is sent to a new one once.
	Prior []wirePrior
}

// wireSums contains the Sums of an incarnation of an endpoint. Times are in units of wireUnit.
type wireSums struct {
	_        struct{} `cbor:",toarray"`
	Endpoint key
	Count    uint32
	Time     uint32
	Busy     uint32
	Failures uint32
	// Age is the time since the last response.
	Age uint32
}

type wirePrior struct {
	_               struct{} `cbor:",toarray"`
	Endpoint        key
	Work            uint32
	Samples         uint32
	AgeMilliseconds uint32
}

// wireReply contains the estimates on one service.
type wireReply struct {
	_       struct{} `cbor:",toarray"`
	Service string
	// AdmittedPermille is the fraction of the arrivals that the endpoints can serve.
	AdmittedPermille uint32
	// Offered is the number of arrivals a second at all hosts.
	Offered   uint32
	Endpoints []wireEstimate
}

// wireEstimate is an Estimate. Rate is in units of rateUnit, Concurrency of concurrencyUnit.
type wireEstimate struct {
	_                  struct{} `cbor:",toarray"`
	Endpoint           key
	Work               uint32
	Samples            uint32
	Rate               uint32
	Concurrency        uint32
	LoadPermille       uint32
	FailureRatePercent uint32
}

const (
	wireUnit        = 100 * time.Microsecond
	rateUnit        = 0.1
	concurrencyUnit = 0.1
	permille        = 1000
	percent         = 100
)

// toWire returns a value in a unit, within the range of a message.
func toWire(value, unit float64) uint32 {
	return uint32(min(max(math.Round(value/unit), 0), math.MaxUint32))
}

func encodeSums(id key, s Sums, age time.Duration) wireSums {
	unit := wireUnit.Seconds()
	return wireSums{
		Endpoint: id, Count: toWire(s.Count, 1), Time: toWire(s.Seconds, unit), Busy: toWire(s.Busy, unit), Failures: toWire(s.Failures, 1), Age: toWire(age.Seconds(), unit),
	}
}

// maxSumsSeconds limits the times and maxSumsCount the counts in the message of a peer.
const (
	maxSumsSeconds = 1e5
	maxSumsCount   = 1e6
)

func decodeSums(w wireSums) Sums {
	unit := wireUnit.Seconds()
	return Sums{
		Count: min(float64(w.Count), maxSumsCount), Seconds: min(float64(w.Time)*unit, maxSumsSeconds),
		Busy: min(float64(w.Busy)*unit, maxSumsSeconds), Failures: min(float64(w.Failures), maxSumsCount),
	}
}

func encodePrior(id key, e Estimate, age time.Duration) wirePrior {
	return wirePrior{
		Endpoint: id, Work: toWire(e.Work.Seconds(), wireUnit.Seconds()), Samples: toWire(e.Samples, 1),
		AgeMilliseconds: toWire(age.Seconds(), time.Millisecond.Seconds()),
	}
}

func encodeEstimate(id key, e Estimate) wireEstimate {
	return wireEstimate{
		Endpoint: id, Work: toWire(e.Work.Seconds(), wireUnit.Seconds()), Samples: toWire(e.Samples, 1),
		Rate: toWire(e.Rate, rateUnit), Concurrency: toWire(e.Concurrency, concurrencyUnit),
		LoadPermille: toWire(e.Load, 1.0/permille), FailureRatePercent: toWire(e.FailureRate, 1.0/percent),
	}
}

func decodeEstimate(w wireEstimate) Estimate {
	return Estimate{
		Work: time.Duration(w.Work) * wireUnit, Samples: float64(w.Samples), Rate: float64(w.Rate) * rateUnit,
		Concurrency: float64(w.Concurrency) * concurrencyUnit, Load: min(float64(w.LoadPermille)/permille, 1),
		FailureRate: min(float64(w.FailureRatePercent)/percent, 1),
	}
}
