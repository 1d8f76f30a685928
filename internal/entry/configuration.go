package entry

import (
	"maps"

	"github.com/rotisserie/eris"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/model"
)

// configuration is the part of the resources that an entry host follows. The
// goroutine of the control client owns it; values is immutable once set.
// Invariant: sent has what the dispatcher was told of each service.
type configuration struct {
	queue queue
	// version is that of the last list or progress mark: every change up to it
	// was taken. Changes behind it may be in force already; several can share a
	// version, so a stream that ends among them is resumed before them.
	version uint64
	objects map[model.Key]model.Object
	// list collects a list until it is whole.
	list   map[model.Key]model.Object
	epochs map[string]uint64
	sent   map[string]int
	values map[string]map[string]string
}

func newConfiguration(q queue) *configuration {
	return &configuration{
		queue: q, objects: make(map[model.Key]model.Object), list: make(map[model.Key]model.Object),
		epochs: make(map[string]uint64), sent: make(map[string]int),
	}
}

func decode(msg *pb.WatchResponse) (model.Key, model.Object, error) {
	key := model.Key{Kind: model.Kind(msg.GetKind()), Name: msg.GetName()}
	if msg.GetDeleted() {
		return key, nil, nil
	}
	obj, err := codec.DecodeObject(msg.GetObject())
	return key, obj, eris.Wrapf(err, "resource %s %s", key.Kind, key.Name)
}

// collect takes one resource of a list.
func (c *configuration) collect(msg *pb.WatchResponse) error {
	key, obj, err := decode(msg)
	if err == nil && obj != nil {
		c.list[key] = obj
	}
	return err
}

func (c *configuration) dropList() { clear(c.list) }

// applyList replaces the configuration by the list.
func (c *configuration) applyList(version uint64) {
	c.objects = c.list
	c.list = make(map[model.Key]model.Object)
	c.version = version
	for _, obj := range c.objects {
		c.applyHost(obj)
	}
	c.applyLimits()
	c.applyValues()
}

// apply takes one change or progress mark.
func (c *configuration) apply(msg *pb.WatchResponse) error {
	if msg.GetKind() == "" {
		c.version = msg.GetVersion()
		return nil
	}
	key, obj, err := decode(msg)
	if err != nil {
		return err
	}
	c.set(key, obj)
	return nil
}

func (c *configuration) set(key model.Key, obj model.Object) {
	if obj == nil {
		delete(c.objects, key)
	} else {
		c.objects[key] = obj
	}
	switch key.Kind {
	case model.KindHost:
		c.applyHost(obj)
	case model.KindPool, model.KindBudget:
		c.applyLimits()
	case model.KindConfig:
		c.applyValues()
	default:
		// Other kinds are not watched.
	}
}

// applyHost tells the dispatcher of a new epoch. The epoch of a host that was
// deleted stays known, so that its old announcements stay refused.
func (c *configuration) applyHost(obj model.Object) {
	host, ok := obj.(*model.Host)
	if !ok || host.Status.Epoch <= c.epochs[host.Name] {
		return
	}
	c.epochs[host.Name] = host.Status.Epoch
	c.queue.post(&eventMessage{event: dispatch.EpochChanged{Host: host.Name, Epoch: host.Status.Epoch}})
}

// applyLimits tells the dispatcher what changed of the services.
func (c *configuration) applyLimits() {
	limits := c.limits()
	for service, n := range limits {
		if before, ok := c.sent[service]; !ok || before != n {
			c.queue.post(&eventMessage{event: dispatch.ServiceLimits{Service: service, MinHealthy: n}})
		}
	}
	for service := range c.sent {
		if _, ok := limits[service]; !ok {
			c.queue.post(&eventMessage{event: dispatch.ServiceLimits{Service: service}})
		}
	}
	c.sent = limits
}

// limits returns the sum of the budgets of the pools of each service.
func (c *configuration) limits() map[string]int {
	healthy := make(map[string]int)
	for _, obj := range c.objects {
		if b, ok := obj.(*model.Budget); ok {
			healthy[b.Spec.Pool] = max(healthy[b.Spec.Pool], b.Spec.MinHealthy)
		}
	}
	limits := make(map[string]int)
	for _, obj := range c.objects {
		if p, ok := obj.(*model.Pool); ok {
			limits[p.Spec.Service] += healthy[p.Name]
		}
	}
	return limits
}

func (c *configuration) applyValues() {
	values := make(map[string]map[string]string)
	for _, obj := range c.objects {
		if cfg, ok := obj.(*model.Config); ok {
			values[cfg.Name] = maps.Clone(cfg.Spec.Values)
		}
	}
	c.values = values
}
