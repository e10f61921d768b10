import { StageSizing } from '@pumicebarrow/router';
import { Hollow, type Figure } from '@pumicebarrow/sim';

const LOOKS = 40;
const PARTS = [2, 3, 4, 6, 8, 12];
/** ms of reading that wait at each prefill server, and runs at each decode server. */
const LOADS = [
  { read: 700, run: 6 },
  { read: 1400, run: 12 },
  { read: 2800, run: 12 },
];

/**
 * How many servers of one service the real `StageMix` has change at once while reading is two, four and eight times as
 * busy as it should be, and decoding far less: by how many servers the service has. Below 0 they would decode.
 */
export const Mixes = {
  moves(load: { read: number; run: number }, prefill: number, decode: number): number {
    const mix = StageSizing.make();
    for (let i = 0; i < LOOKS; i++) {
      const move = mix.decide(load, { prefill, decode });
      if (move !== 0) return move;
    }
    return 0;
  },
  run(n: number): Figure[] {
    const a = { run: 'mixes', axis: 'servers of a service', at: n };
    const prefill = Math.max(1, Math.round(n / 3));
    return LOADS.map((load) =>
      Hollow.figure(
        a,
        'head',
        `change at once: ${load.read} ms wait to be read, ${load.run} run`,
        'count',
        Mixes.moves(load, prefill, n - prefill),
      ),
    );
  },
  sizes: PARTS.flatMap((n) => [n, n * 10, n * 100]).sort((x, y) => x - y),
};
