import { Err, Logs, Ok, type Doc } from '@pumicebarrow/forms';
import { InMemoryRecordStore, type GossipNode } from '@pumicebarrow/purge';
import type { ModelServerClient } from './modelserverclient.js';
import type { Server } from './server.js';
import { SharedDocumentCheck } from './shareddocumentcheck.js';
import { StageBalancer } from './stagebalancer.js';
import { testClock, testModelServerClient } from './fixtures.test.js';

/**
 * A stage balancer with servers that only take orders; records its orders and the stage assignment published at each.
 */
export const makeStageBalancerFixture = (servers: Server[]) => {
  const time = testClock();
  const orders: string[] = [];
  const store = InMemoryRecordStore.make(SharedDocumentCheck.isValid);
  const state = {
    fence: 4 as number | null,
    servers,
    load: { read: 0, beside: 0, run: 0 },
    away: 0,
    reply: 'taken' as 'taken' | 'lost',
  };
  const engine: ModelServerClient = {
    ...testModelServerClient([], []),
    setStage(s, o) {
      const row = store.get(`row:${s.id}`)?.body as { part: string; stage: string } | undefined;
      orders.push(`${s.id} ${o.stage} ${o.fence} ${row?.part ?? 'no row'} ${row?.stage ?? ''}`);
      return Promise.resolve(state.reply === 'taken' ? Ok('taken' as const) : Err('lost' as const));
    },
  };
  const gossip = { publish: (d: Doc) => store.offer(d) } as unknown as GossipNode;
  const duty = StageBalancer.make({
    ...{ clock: time.clock, log: Logs.silent(), engine, gossip, store, self: 'k1', lease: 3000 },
    ...{ fence: () => state.fence, firstStep: () => 0, servers: () => state.servers, load: () => state.load },
    away: () => state.away,
  });
  const pass = async (ms: number): Promise<void> => {
    for (let t = 0; t < ms; t += 400) {
      duty.tick();
      await time.advance(400);
    }
  };
  return { state, orders, store, pass };
};
