import { VersionOrder, type Doc, type Ident, type Messenger, type World } from '@pumicebarrow/forms';
import { GossipSchemas, type RecordStore, type GossipNode } from '@pumicebarrow/purge';
import type { ControlClient } from '@pumicebarrow/registry';

type Dependencies = {
  world: World;
  post: Messenger;
  controlClient: ControlClient;
  /** Gossip, through which a configuration found is stored and passed on. */
  purge: GossipNode;
  recordStore: RecordStore;
  self: () => Ident;
  known: () => readonly Ident[];
  /** How often this daemon has been suspended, checked now. */
  slept: () => number;
};
/** Time in which a daemon meets its peers by gossip and a configuration in force reaches all that are connected. */
const GOSSIP_SPREAD_MS = 2000;

/**
 * Finds the newest configuration without waiting for gossip: at the tail of the chain or, if the control replicas can
 * not be reached, from a majority of the known daemons. Invariant: `confirmNewest` is true only if no configuration in
 * force when the search began is newer than the one now stored, and this daemon was not suspended since then (a reply
 * may have waited for it to resume). A daemon that has just started knows too few peers to trust a majority of them.
 */
export const ConfigurationCatchUp = {
  make(deps: Dependencies) {
    const startedAt = deps.world.clock.mono();
    const readFromTail = async (timeoutMs: number): Promise<boolean> => {
      const reply = await deps.controlClient.read(undefined, timeoutMs);
      if (!reply) return false;
      const latest = reply.charter;
      if (latest)
        deps.purge.learn(
          {
            name: 'charter',
            mark: [latest.version, 0],
            body: { version: latest.version, plan: latest.plan, charter: latest.body },
          },
          'tail',
        );
      return true;
    };
    const readMajority = async (): Promise<boolean> => {
      if (deps.world.clock.mono() - startedAt < GOSSIP_SPREAD_MS) return false;
      const others = deps.known().filter((k) => k.role === 'counter' && k.id !== deps.self().id);
      const replies = await Promise.all(
        others.map((o) => deps.post.ask(o.addr, o.id, 'purge.pull', { name: 'charter' }, GossipSchemas.pulled, 400)),
      );
      const received = replies.flatMap((r) => (r.ok ? [r.val.doc] : []));
      if (received.length + 1 <= (others.length + 1) / 2) return false;
      const newest = received
        .filter((d): d is Doc => d !== null)
        .sort((a, b) => VersionOrder.compare(b.mark, a.mark))[0];
      if (newest) deps.purge.learn(newest, 'majority');
      return deps.recordStore.get('charter') !== null;
    };
    return {
      /** Fetches the newest configuration; true if the one now stored is known to be the newest. */
      async confirmNewest(): Promise<boolean> {
        const suspensionsBefore = deps.slept();
        return ((await readFromTail(600)) || (await readMajority())) && deps.slept() === suspensionsBefore;
      },
      /** Fetches the configuration from the tail of the chain; false if it did not answer. */
      readTail: readFromTail,
    };
  },
};
