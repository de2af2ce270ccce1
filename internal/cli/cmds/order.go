package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/yuccalb/yuccalb/internal/daemon/orders"
)

// orderTimeout bounds one order, which may have to wait for an earlier one to
// complete.
const orderTimeout = 100 * time.Second

// OrderCmd sends an order to an engine through a host.
type OrderCmd struct {
	Server netip.AddrPort `arg:"" help:"Address of the engine."`
	Kind   string         `arg:"" help:"What to do." enum:"load,adapter,version,role"`
	Model  string         `arg:"" help:"Model, adapter, version or role."`
	Again  string         `help:"Name of a new attempt, for a load that was ordered before."`
	Admin  netip.AddrPort `help:"Admin address of a host." default:"127.0.0.1:8002"`
}

// Run executes the command.
func (c *OrderCmd) Run(e *env) error {
	o := orders.Order{Server: c.Server, Command: c.Kind, Model: c.Model, Again: c.Again}
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), orderTimeout)
	defer cancel()
	if err := doJSON(ctx, http.MethodPost, "http://"+c.Admin.String()+"/order", "", bytes.NewReader(body), &o); err != nil {
		return err
	}
	e.Printf("engine %s accepted the order: %s %s\n", o.Server, o.Command, o.Model)
	return nil
}
