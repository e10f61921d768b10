import { Random } from '@pumicebarrow/forms';
import type { Bent } from './bent.js';
import { Bounds } from './bounds.js';
import type { ClientLoad } from './clientload.js';
import { ClientLoads } from './clientloads.js';
import { ModelTenants } from './modeltenants.js';
import { Entry } from './entry.js';
import { OneTry } from './onetry.js';
import type { RequestKind } from './requestkind.js';
import type { Fleet } from './fleet.js';
import type { Seen } from './seen.js';
import type { Wish } from './wish.js';

const STRIDE = 4;

/**
 * Clients in waves and clumps. Invariants: what may run once is tried again only after a promise, or where no
 * connection came up; a stream that may be resumed goes on after the last event that came; every try has an id of its
 * own.
 */
export const ModelClients = {
  make(fleet: Fleet, bent: Bent, tell: (x: Seen) => void) {
    const { motor } = fleet;
    const entry = Entry.make(fleet),
      once = OneTry.make(fleet, bent, tell);
    let on = false;
    let times = 1;
    let load: ClientLoad = ClientLoads.light;
    let keys = 0;
    const int = (n: number): number => Random.int(motor.chance, n);
    const wish = (kind: RequestKind, service: string): Wish => {
      const p = kind.prompt?.(motor.chance, keys) ?? null;
      const { path, resumable } = kind;
      return {
        ...{
          credentials: ModelTenants.usual(keys % 10 < (load.crowd ?? 0) ? 0 : keys),
          key: `w${++keys}`,
          path,
          kind: kind.kind,
          resumable,
          service,
          prompt: p,
        },
        total: Math.ceil((p?.most ?? 8) / STRIDE),
      };
    };
    const may = (w: Wish, outcome: string): boolean =>
      outcome === 'refused' ||
      outcome === 'unreached' ||
      (outcome !== 'missing' &&
        outcome !== 'unauthorized' &&
        (w.kind === 'idempotent' || (w.kind === 'stream' && w.resumable)));
    const run = async (w: Wish, deadline: number, tries: number): Promise<void> => {
      tell({ what: 'wish', key: w.key, at: motor.now() });
      const due = motor.now() + deadline;
      let last: string | null = null;
      let after = 0;
      for (let n = 0; n < tries && due - motor.now() > 100; n++) {
        last = entry.pick(last);
        const got = await once(w, last, after, due);
        if (got.outcome === 'whole' || !may(w, got.outcome)) return;
        if (w.kind === 'stream') after = got.pieces.at(-1)?.n ?? after;
        const wait = got.outcome === 'refused' ? Math.min(got.after, (due - motor.now()) / 3) : 30;
        await fleet.nap(wait);
      }
    };
    const loop = async (): Promise<void> => {
      while (on) {
        const wave = 1 + 0.5 * Math.sin(motor.now() / 4000);
        await fleet.nap((1000 / (load.perSecond * wave * times)) * 2 * motor.chance.real());
        const clump = motor.chance.real() < 0.02 ? 10 : 1;
        for (let i = 0; i < clump && on; i++) {
          const kind = load.kinds[int(load.kinds.length)]!;
          void run(wish(kind, 'alpha'), kind.deadline, load.tries);
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
      /** What is asked for from here on. */
      use(next: ClientLoad): void {
        load = next;
      },
      /** All is lost at this instant, and back ms later. */
      closed(ms: number): void {
        tell({ what: 'closed', back: motor.now() + ms, at: motor.now() });
      },
      /** A request sent directly to one router, which shows what is in force there. */
      probe(router: string, path: string, service: string, credentials?: string): void {
        const usual = wish({ path, kind: 'once', resumable: false, deadline: Bounds.deadline }, service);
        const w = { ...usual, credentials: credentials ?? usual.credentials };
        void once(w, router, 0, motor.now() + Bounds.deadline);
      },
    };
  },
};
