import { Drills } from './drills.js';
import type { Fleeting } from './fleeting.js';
import type { Scene } from './scene.js';

type Sabotage = { never: string; about: string; before: (f: Fleeting) => void; run: (s: Scene) => Promise<void> };
const drill =
  (name: string) =>
  (s: Scene): Promise<void> =>
    Drills.get(name)!.run(s);
const tamper =
  (kind: string, change: (re: Record<string, unknown>, body: Record<string, unknown>) => unknown) =>
  (f: Fleeting): void =>
    f.net.bend((k, _from, _to, re, body) =>
      k === kind && re !== null ? change(re as Record<string, unknown>, body as Record<string, unknown>) : re,
    );

/** For each never, a run broken on purpose in one place: its rule must catch it. */
export const Sabotages: readonly Sabotage[] = [
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
    never: 'again',
    about: 'the platform stays away',
    before: () => undefined,
    run: async (s) => {
      s.park.platform(false);
      await s.nap(3000);
    },
  },
];
