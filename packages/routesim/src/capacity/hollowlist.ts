import { Ok } from '@pumicebarrow/forms';
import type { ServerListSource, Server } from '@pumicebarrow/router';
import { Design } from '@pumicebarrow/sim';

const SERVICES = 8;
const POLL = 20;

/** The platform's list of so many servers, a third of which read; each change ends one life and begins another. */
export const HollowList = {
  /** Few servers are of few services, so that each has some of both stages. */
  services: (n: number): number => Math.max(1, Math.min(SERVICES, Math.floor(n / 2))),
  /** Server i of n in one of its lives: one in three of each service reads. */
  server: (i: number, life: number, n: number): Server => ({
    id: `i-${(i * 7919 + life * 104_729 + 268_435_456).toString(16)}`,
    service: `model-${i % HollowList.services(n)}`,
    addr: `10.2${Math.floor(i / 65_536)}.${Math.floor(i / 256) % 256}.${i % 256}:8080`,
    zone: `zone-${i % Design.zones}`,
    state: 'ready',
    stage: Math.floor(i / HollowList.services(n)) % 3 === 0 ? 'prefill' : 'decode',
    slots: 64,
    warm: 0,
  }),
  servers: (n: number): Server[] => Array.from({ length: n }, (_, i) => HollowList.server(i, 0, n)),
  make(n: number, later: (ms: number, fn: () => void) => void) {
    let list: readonly Server[] = HollowList.servers(n);
    let turn = 0;
    let polls = 0;
    return {
      servers: (): readonly Server[] => list,
      polls: (): number => polls,
      change(): void {
        const i = turn++ % n;
        list = list.map((s, j) => (j === i ? HollowList.server(i, turn, n) : s));
      },
      source: (): ServerListSource => ({
        poll: () =>
          new Promise((done) => {
            polls++;
            later(POLL, () => done(Ok(list)));
          }),
      }),
    };
  },
};
