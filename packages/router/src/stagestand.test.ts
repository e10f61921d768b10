import { Err, Logs, Ok, type Doc } from '@pumicebarrow/forms';
import { Shelf, type Purging } from '@pumicebarrow/purge';
import type { Engine } from './engine.js';
import type { Server } from './server.js';
import { SharedSound } from './sharedsound.js';
import { StageDuty } from './stageduty.js';
import { testClock, testEngine } from './stand.test.js';

/**
 * A stage balancer with servers that only take orders; records its orders and the stage assignment published at each.
 */
export const makeStageBalancerFixture = (servers: Server[]) => {
  const time = testClock();
  const orders: string[] = [];
  const store = Shelf.make(SharedSound.doc);
  const state = {
    fence: 4 as number | null,
    servers,
    load: { read: 0, beside: 0, run: 0 },
    away: 0,
    reply: 'taken' as 'taken' | 'lost',
  };
  const engine: Engine = {
    ...testEngine([], []),
    order(s, o) {
      const row = store.get(`row:${s.id}`)?.body as { part: string; stage: string } | undefined;
      orders.push(`${s.id} ${o.stage} ${o.fence} ${row?.part ?? 'no row'} ${row?.stage ?? ''}`);
      return Promise.resolve(state.reply === 'taken' ? Ok('taken' as const) : Err('lost' as const));
    },
  };
  const gossip = { publish: (d: Doc) => store.offer(d) } as unknown as Purging;
  const duty = StageDuty.make({
    ...{ clock: time.clock, log: Logs.quiet(), engine, purge: gossip, shelf: store, self: 'k1', lease: 3000 },
    ...{ fence: () => state.fence, servers: () => state.servers, load: () => state.load },
    away: () => state.away,
  });
  const pass = async (ms: number): Promise<void> => {
    for (let t = 0; t < ms; t += 400) {
      duty.tick();
      await time.pass(400);
    }
  };
  return { state, orders, store, pass };
};
