package entry

import (
	"maps"

	"github.com/rotisserie/eris"

	pb "laburnumdock/gen/laburnumdock/v1"
	"laburnumdock/internal/codec"
	"laburnumdock/internal/core/dispatch"
	"laburnumdock/internal/core/model"
)

// configuration holds the resources that an entry host watches. The goroutine of the
// control client owns it; values is immutable once set. Invariant: sentLimits holds
// the limit that was last sent to the dispatcher for each service.
type configuration struct {
	queue queue
	// version is the version of the last list or progress mark: all changes up to it
	// are applied. Later changes may be applied already. Several changes can share a
	// version, so a stream that ends among them is resumed before all of them.
	version uint64
	objects map[model.Key]model.Object
	// partialList collects a list until it is complete.
	partialList map[model.Key]model.Object
	// epochs holds the highest epoch that was applied for each host.
	epochs     map[string]uint64
	sentLimits map[string]int
	// values holds the values of each config by name.
	values map[string]map[string]string
}

func newConfiguration(q queue) *configuration {
	return &configuration{
		queue: q, objects: make(map[model.Key]model.Object), partialList: make(map[model.Key]model.Object),
		epochs: make(map[string]uint64), sentLimits: make(map[string]int),
	}
}

// decodeChange returns the key and the resource of a change. The resource is nil if it
// was deleted.
func decodeChange(msg *pb.WatchResponse) (model.Key, model.Object, error) {
	key := model.Key{Kind: model.Kind(msg.GetKind()), Name: msg.GetName()}
	if msg.GetDeleted() {
		return key, nil, nil
	}
	obj, err := codec.DecodeObject(msg.GetObject())
	return key, obj, eris.Wrapf(err, "resource %s %s", key.Kind, key.Name)
}

// collect adds one resource to the partial list.
func (c *configuration) collect(msg *pb.WatchResponse) error {
	key, obj, err := decodeChange(msg)
	if err == nil && obj != nil {
		c.partialList[key] = obj
	}
	return err
}

func (c *configuration) discardList() { clear(c.partialList) }

// applyList replaces the configuration by the collected list.
func (c *configuration) applyList(version uint64) {
	c.objects = c.partialList
	c.partialList = make(map[model.Key]model.Object)
	c.version = version
	for _, obj := range c.objects {
		c.applyHost(obj)
	}
	c.applyLimits()
	c.applyValues()
}

// apply applies one change or progress mark.
func (c *configuration) apply(msg *pb.WatchResponse) error {
	if msg.GetKind() == "" {
		c.version = msg.GetVersion()
		return nil
	}
	key, obj, err := decodeChange(msg)
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

// applyHost sends the epoch of a host to the dispatcher if it is new. The epoch of a
// deleted host is kept, so that announcements with an older one stay refused.
func (c *configuration) applyHost(obj model.Object) {
	host, ok := obj.(*model.Host)
	if !ok || host.Status.Epoch <= c.epochs[host.Name] {
		return
	}
	c.epochs[host.Name] = host.Status.Epoch
	c.queue.post(&eventMessage{event: dispatch.EpochChanged{Host: host.Name, Epoch: host.Status.Epoch}})
}

// applyLimits sends the service limits that changed to the dispatcher.
func (c *configuration) applyLimits() {
	limits := c.serviceLimits()
	for service, n := range limits {
		if before, ok := c.sentLimits[service]; !ok || before != n {
			c.queue.post(&eventMessage{event: dispatch.ServiceLimits{Service: service, MinHealthy: n}})
		}
	}
	for service := range c.sentLimits {
		if _, ok := limits[service]; !ok {
			c.queue.post(&eventMessage{event: dispatch.ServiceLimits{Service: service}})
		}
	}
	c.sentLimits = limits
}

// serviceLimits returns, for each service, the sum of the minimum healthy counts that
// the budgets of its pools declare.
func (c *configuration) serviceLimits() map[string]int {
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

// applyValues rebuilds values from the configs.
func (c *configuration) applyValues() {
	values := make(map[string]map[string]string)
	for _, obj := range c.objects {
		if cfg, ok := obj.(*model.Config); ok {
			values[cfg.Name] = maps.Clone(cfg.Spec.Values)
		}
	}
	c.values = values
}
