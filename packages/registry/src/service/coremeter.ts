import type { Metering, World } from '@pumicebarrow/forms';
import type { Registrar } from '../registrar.js';
import { Views } from '../consensus/views.js';

type Made = Extract<Awaited<ReturnType<typeof Registrar.make>>, { ok: true }>['val'];

/** What a core daemon counts for those on call. */
export const CoreMeter = {
  /** The same world, whose deeds are counted too. */
  listen(world: World, meters: Metering): World {
    const wrote = meters.time('disk_write_seconds', 'to write, sync and rename one file', ['kind', 'done']);
    const writes = meters.count('chain_writes_total', 'versions begun at the head');
    const views = meters.count('views_total', 'views that this daemon saw agreed as their proposer');
    const sick = meters.count('sick_total', 'times that its disk failed');
    const held = meters.count('docs_held_total', 'versions taken in, by how they came', ['via']);
    return {
      ...world,
      tell(d) {
        if (d.what === 'stored') wrote(Number(d['ms']), { kind: String(d['kind']), done: String(d['done']) });
        else if (d.what === 'write') writes();
        else if (d.what === 'view') views();
        else if (d.what === 'sick') sick();
        else if (d.what === 'held') held({ via: String(d['via']) });
        world.tell(d);
      },
    };
  },
  /** How it stands, read when it is asked for. */
  levels(meters: Metering, d: Made): void {
    const { core } = d;
    const place = (): number => {
      const v = core.view();
      return v ? Views.place(v, d.ident) + 1 : 0;
    };
    meters.level('chain_place', '1 is the head; 0 is out of the chain', place);
    meters.level('chain_length', 'members of the chain, as this daemon knows it', () => core.view()?.chain.length ?? 0);
    meters.level('view_epoch', 'how often the chain was agreed anew', () => core.view()?.epoch ?? 0);
    meters.level('view_claim', '1 while it may speak for its view', () => (core.live() ? 1 : 0));
    meters.level('chain_backlog', 'commands that wait for their turn', () => core.chain.backlog());
    meters.level(
      'charter_version',
      'the charter known to be on all of the chain',
      () => core.chain.passed()?.charter?.version ?? null,
    );
    meters.levels('purge', 'what gossip has done since the start', 'what', () => d.purge.count());
  },
};
