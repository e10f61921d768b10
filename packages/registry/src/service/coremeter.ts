import type { Metrics, World } from '@pumicebarrow/forms';
import type { RegistryNode } from '../registrynode.js';
import { Views } from '../consensus/views.js';

type Node = Extract<Awaited<ReturnType<typeof RegistryNode.make>>, { ok: true }>['val'];

/** Metrics of a control replica for operators. */
export const CoreMeter = {
  /** Wraps `world` so that its history events are counted as well. */
  countEvents(world: World, metrics: Metrics): World {
    const diskWriteSeconds = metrics.timer('disk_write_seconds', 'to write, sync and rename one file', [
      'kind',
      'done',
    ]);
    const writes = metrics.counter('chain_writes_total', 'versions begun at the head');
    const views = metrics.counter('views_total', 'views that this daemon saw agreed as their proposer');
    const diskFailures = metrics.counter('sick_total', 'times that its disk failed');
    const docsHeld = metrics.counter('docs_held_total', 'versions taken in, by how they came', ['via']);
    return {
      ...world,
      recordEvent(event) {
        if (event.what === 'stored')
          diskWriteSeconds(Number(event['ms']), { kind: String(event['kind']), done: String(event['done']) });
        else if (event.what === 'write') writes();
        else if (event.what === 'view') views();
        else if (event.what === 'sick') diskFailures();
        else if (event.what === 'held') docsHeld({ via: String(event['via']) });
        world.recordEvent(event);
      },
    };
  },
  /** Registers gauges that are read at each scrape. */
  registerGauges(metrics: Metrics, node: Node): void {
    const { core } = node;
    const position = (): number => {
      const view = core.view();
      return view ? Views.positionOf(view, node.ident) + 1 : 0;
    };
    metrics.gauge('chain_place', '1 is the head; 0 is out of the chain', position);
    metrics.gauge(
      'chain_length',
      'members of the chain, as this daemon knows it',
      () => core.view()?.chain.length ?? 0,
    );
    metrics.gauge('view_epoch', 'how often the chain was agreed anew', () => core.view()?.epoch ?? 0);
    metrics.gauge('view_claim', '1 while it may speak for its view', () => (core.holdsLease() ? 1 : 0));
    metrics.gauge('chain_backlog', 'commands that wait for their turn', () => core.chain.backlog());
    metrics.gauge(
      'charter_version',
      'the charter known to be on all of the chain',
      () => core.chain.committed()?.charter?.version ?? null,
    );
    metrics.labeledGauge('purge', 'what gossip has done since the start', 'what', () => node.purge.counters());
  },
};
