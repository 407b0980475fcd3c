package operator

import (
	"bytes"
	"context"
	"runtime/pprof"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// defaultProfileSeconds and maxProfileSeconds are the default and the maximum
	// duration of a CPU profile.
	defaultProfileSeconds = 5
	maxProfileSeconds     = 15
)

// cpuProfile answers with a CPU profile of the next seconds, in the format of
// "go tool pprof". It fails while another profile is being taken.
func (s *Server) cpuProfile(ctx context.Context, req *fasthttp.RequestCtx) (any, error) {
	seconds, err := numberArg(req, "seconds", defaultProfileSeconds)
	if err != nil {
		return nil, err
	}
	var profile bytes.Buffer
	if err := pprof.StartCPUProfile(&profile); err != nil {
		return nil, err
	}
	defer pprof.StopCPUProfile()
	select {
	case <-time.After(time.Duration(min(seconds, maxProfileSeconds)) * time.Second):
	case <-ctx.Done():
	}
	pprof.StopCPUProfile()
	answerProfile(req, profile.Bytes())
	return nil, nil
}

// heapProfile answers with a profile of the heap memory in use.
func (s *Server) heapProfile(_ context.Context, req *fasthttp.RequestCtx) (any, error) {
	var profile bytes.Buffer
	if err := pprof.Lookup("heap").WriteTo(&profile, 0); err != nil {
		return nil, err
	}
	answerProfile(req, profile.Bytes())
	return nil, nil
}

func answerProfile(req *fasthttp.RequestCtx, profile []byte) {
	req.SetContentType("application/octet-stream")
	req.SetBody(profile)
}
