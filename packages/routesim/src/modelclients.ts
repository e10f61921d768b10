import { Dice } from '@pumicebarrow/forms';
import type { Prompt } from '@pumicebarrow/router';
import type { Bent } from './bent.js';
import { Bounds } from './bounds.js';
import { Entry } from './entry.js';
import { OneTry } from './onetry.js';
import type { Playing } from './playing.js';
import type { Seen } from './seen.js';
import type { Wish } from './wish.js';

const TRIES = 4;
const RATE = 14;
const SHARED = 10;
const STRIDE = 4;
const KINDS = [
  { path: '/chat/', kind: 'stream', resumable: false },
  { path: '/code/', kind: 'stream', resumable: true },
  { path: '/embed/', kind: 'idempotent', resumable: false },
  { path: '/once/', kind: 'once', resumable: false },
] as const;

/**
 * Clients in waves and clumps. Invariants: what may run once is tried again only after a promise, or where no
 * connection came up; a stream that may be resumed goes on after the last event that came; every try has an id of its
 * own.
 */
export const ModelClients = {
  make(f: Playing, bent: Bent, tell: (x: Seen) => void) {
    const { motor } = f;
    const entry = Entry.make(f),
      once = OneTry.make(f, bent, tell);
    let on = false;
    let times = 1;
    let keys = 0;
    const int = (n: number): number => Dice.int(motor.chance, n);
    const prompt = (): Prompt => {
      const shared = int(SHARED),
        head = 500 + shared * 120,
        own = 80 + int(900);
      const parts = [
        { id: `s${shared}`, tokens: head },
        { id: `o${keys}`, tokens: own },
      ];
      return { model: 'm', tokens: head + own, most: 8 + int(70), parts };
    };
    const wish = (path: string, kind: Wish['kind'], resumable: boolean, service: string): Wish => {
      const p = kind === 'stream' ? prompt() : null;
      return {
        ...{ key: `w${++keys}`, path, kind, resumable, service, prompt: p },
        total: Math.ceil((p?.most ?? 8) / STRIDE),
      };
    };
    const may = (w: Wish, outcome: string): boolean =>
      outcome === 'refused' ||
      outcome === 'unreached' ||
      (outcome !== 'missing' && (w.kind === 'idempotent' || (w.kind === 'stream' && w.resumable)));
    const run = async (w: Wish): Promise<void> => {
      tell({ what: 'wish', key: w.key, at: motor.now() });
      const due = motor.now() + Bounds.deadline;
      let last: string | null = null;
      let after = 0;
      for (let n = 0; n < TRIES && due - motor.now() > 100; n++) {
        last = entry.pick(last);
        const got = await once(w, last, after, due);
        if (got.outcome === 'whole' || !may(w, got.outcome)) return;
        if (w.kind === 'stream') after = got.pieces.at(-1)?.n ?? after;
        const wait = got.outcome === 'refused' ? Math.min(got.after, (due - motor.now()) / 3) : 30;
        await f.nap(wait);
      }
    };
    const loop = async (): Promise<void> => {
      while (on) {
        const wave = 1 + 0.5 * Math.sin(motor.now() / 4000);
        await f.nap((1000 / (RATE * wave * times)) * 2 * motor.chance.real());
        const clump = motor.chance.real() < 0.02 ? 10 : 1;
        for (let i = 0; i < clump && on; i++) {
          const k = KINDS[int(KINDS.length)]!;
          void run(wish(k.path, k.kind, k.resumable, 'alpha'));
        }
      }
    };
    return {
      start(): void {
        on = true;
        entry.start();
        void loop();
      },
      stop(): void {
        on = false;
      },
      times(x: number): void {
        times = x;
      },
      /** All is lost at this instant, and back ms later. */
      closed(ms: number): void {
        tell({ what: 'closed', back: motor.now() + ms, at: motor.now() });
      },
      /** A request sent directly to one router, which shows what is in force there. */
      probe(router: string, path: string, service: string): void {
        const w = wish(path, 'once', false, service);
        void once(w, router, 0, motor.now() + Bounds.deadline);
      },
    };
  },
};
