import { Drills } from './drills.js';
import type { Fleeting } from './fleeting.js';
import type { Scene } from './scene.js';

type Sabotage = { never: string; about: string; before: (f: Fleeting) => void; run: (s: Scene) => Promise<void> };
const drill =
  (name: string) =>
  (s: Scene): Promise<void> =>
    Drills.get(name)!.run(s);
const bustle = async (s: Scene, fall: () => void): Promise<void> => {
  for (let i = 0; i < 4; i++) {
    s.callers.crowd(80);
    await s.nap(120);
    fall();
    await s.nap(2500);
  }
};
const tamper =
  (kind: string, change: (re: Record<string, unknown>, body: Record<string, unknown>) => unknown) =>
  (f: Fleeting): void =>
    f.net.bend((k, _from, _to, re, body) =>
      k === kind && re !== null ? change(re as Record<string, unknown>, body as Record<string, unknown>) : re,
    );

/** For each never, a run broken on purpose in one place: its rule must catch it. */
export const Sabotages: readonly Sabotage[] = [
  {
    never: 'twice',
    about: 'ledger owners say yes to everything, and daemons die with visits in hand',
    before: (f) =>
      f.net.bend((k, _from, _to, re) =>
        k === 'ledger.open' ? { say: 'ok' } : k === 'ledger.step' ? { ok: true } : re,
      ),
    run: (s) =>
      bustle(s, () => {
        for (const id of s.f.edgeIds.slice(0, 4)) {
          s.f.kill(id);
          s.f.start(id);
        }
      }),
  },
  {
    never: 'notrun',
    about: 'a broken stream is taken for proof that nothing ran',
    before: (f) => f.park.lie((x) => ({ ...x, ran: 'no' })),
    run: (s) =>
      bustle(s, () => {
        for (const id of s.park.ids()) {
          s.park.fall(id);
          s.park.rise(id);
        }
      }),
  },
  {
    never: 'whole',
    about: 'a server ends early and signs it',
    before: (f) => {
      for (const id of f.park.ids()) f.park.trick(id, 'short');
    },
    run: (s) => s.nap(8000),
  },
  {
    never: 'memory',
    about: 'a server continues from other memory',
    before: (f) => {
      for (const id of f.park.ids()) f.park.trick(id, 'memory');
    },
    run: (s) => s.nap(8000),
  },
  {
    never: 'leaving',
    about: 'the platform serves an old list as new',
    before: () => undefined,
    run: async (s) => {
      s.park.stale();
      await drill('release')(s);
    },
  },
  {
    never: 'hold',
    about: 'the pulls of one daemon are lost, and its reading at the tail',
    before: (f) =>
      f.net.bend((k, from, _to, re) =>
        from === 'e2' && ['purge.pull', 'core.read'].includes(k) && f.motor.now() > 12_000 ? undefined : re,
      ),
    run: drill('single'),
  },
  {
    never: 'back',
    about: 'the tail says there is no charter, and daemons that start believe it',
    before: () => undefined,
    run: async (s) => {
      await s.ops.change();
      tamper('core.read', (re) => ({ ...re, charter: null }))(s.f);
      for (const id of s.f.edgeIds) {
        s.f.kill(id);
        s.f.start(id);
        await s.nap(900);
      }
    },
  },
  {
    never: 'lost',
    about: 'core disks say they have synced and have not',
    before: (f) => {
      for (const d of f.disks.values()) d.lie();
    },
    run: drill('restart'),
  },
  {
    never: 'loser',
    about: 'an operator whose plan won is told that it lost',
    before: tamper('core.write', (re, body) => {
      const c = body['command'] as { do: string };
      return c.do === 'confirm' && (re['ruling'] as { version?: number } | null)?.version !== undefined
        ? { ...re, ruling: { verdict: { ran: 'no', code: 'lost', why: 'x' }, fate: 'lost' } }
        : re;
    }),
    run: (s) => s.nap(3000),
  },
  {
    never: 'extra',
    about: 'daemons may try again as they like while servers turn work away',
    before: (f) => f.tries(5, 1000),
    run: async (s) => {
      for (const id of s.park.ids()) s.park.trick(id, 'flaky');
      await s.nap(9000);
      for (const id of s.park.ids()) s.park.trick(id, 'none');
    },
  },
  {
    never: 'orders',
    about: 'every daemon is given every claim, at once and as the first',
    before: tamper('core.write', (re, body) =>
      (body['command'] as { do: string }).do === 'claim'
        ? { ...re, ruling: { verdict: { ran: 'yes', code: 'claimed', why: 'x' }, fence: 1 }, term: 60_000 }
        : re,
    ),
    run: async (s) => {
      for (let i = 0; i < 80; i++) {
        if (i % 20 === 0) for (const id of s.f.edgeIds.slice(0, 4)) s.f.kill(id);
        if (i % 20 === 10) for (const id of s.f.edgeIds.slice(0, 4)) s.f.start(id);
        for (const id of s.park.ids()) {
          s.park.fall(id);
          s.park.rise(id);
        }
        await s.nap(350);
      }
    },
  },
  {
    never: 'again',
    about: 'the platform stays away',
    before: () => undefined,
    run: async (s) => {
      s.park.platform(false);
      await s.nap(3000);
    },
  },
];
