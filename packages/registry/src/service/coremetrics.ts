import type { MetricFamily } from '@pumicebarrow/forms';
import type { Core } from '../core.js';
import { Views } from '../consensus/views.js';

type Daemon = { core: ReturnType<typeof Core.make>; ident: { id: string; born: string } };

/**
 * The state of a control replica as metric families: its place in the view, its lease, its state on disk and the
 * committed state.
 */
export const CoreMetrics = {
  families(daemon: Daemon): MetricFamily[] {
    const view = daemon.core.view();
    const { chain } = daemon.core;
    const gauge = (name: string, help: string, value: number): MetricFamily => ({
      ...{ name, help, kind: 'gauge' },
      samples: [{ labels: {}, value }],
    });
    return [
      gauge('view_epoch', 'epoch of the view', view?.epoch ?? 0),
      gauge('chain_place', '1 is the head; 0 is out of the chain', view ? Views.positionOf(view, daemon.ident) + 1 : 0),
      gauge(
        'chain_complete',
        'members of the chain that hold all that was confirmed',
        view ? Views.completeMembers(view).length : 0,
      ),
      gauge('view_lease', '1 while it may speak for its view', daemon.core.holdsLease() ? 1 : 0),
      gauge('state_sequence', 'sequence number of the state on disk', chain.state().seq),
      gauge('state_configuration', 'configuration on disk', chain.state().charter?.version ?? 0),
      gauge(
        'passed_configuration',
        'configuration known to be on all of the chain',
        chain.committed()?.charter?.version ?? 0,
      ),
    ];
  },
};
