import { Random, type RandomSource } from '@pumicebarrow/forms';
import type { Router } from '@pumicebarrow/router';
import type { Server } from '@pumicebarrow/router';
import type { Metered } from './metered.js';

type Routed = ReturnType<typeof Router.make>;
const READ = 400;
const TOKENS = 5900;
/** ms that a stream of the design size takes: its first token, and 486 more. */
const STREAM = 570 + 486 * 72;

/**
 * Requests under way at one router as its tables know them, without the requests: each is a prompt at a prefill server
 * and then a run at a decode server. Invariant: there are `runs` of them at any time, each as long as a stream is.
 */
export const UnderWay = {
  STREAM,
  begin(motor: Metered, chance: RandomSource, router: Routed, servers: () => readonly Server[], runs: number): void {
    const pick = (stage: Server['stage']): string => {
      const all = servers();
      for (;;) {
        const s = all[Random.int(chance, all.length)]!;
        if (s.stage === stage) return s.id;
      }
    };
    const run = (ms: number): void => {
      const free = router.loads.beginRun(pick('decode'));
      motor.at(motor.now() + ms, () => {
        free();
        const read = router.loads.beginRead(pick('prefill'), TOKENS);
        motor.at(motor.now() + READ, () => {
          read();
          run(STREAM);
        });
      });
    };
    for (let i = 0; i < runs; i++) run(chance.real() * STREAM);
  },
};
