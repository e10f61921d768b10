import { Random, type FleetConfiguration, type HistoryEvent, type Verdict } from '@pumicebarrow/forms';
import { OperatorApi } from '@pumicebarrow/counter';
import type { Fleeting } from './fleeting.js';

/** After which an operator leaves a daemon that does not reply, and tries another. */
const PATIENCE = 4500;
type Told = { verdict: Verdict; [key: string]: unknown };

/** Simulated operators: they plan, confirm, race, and take down what they were told. */
export const Operators = {
  make(f: Fleeting, tell: (d: HistoryEvent) => void) {
    const { motor } = f;
    let serial = 0;
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        motor.at(motor.now() + ms, done);
      });
    /** One call at one daemon; null when it was torn or never came back. */
    const call = (id: string, job: (c: ReturnType<typeof OperatorApi.make>) => Promise<Told>): Promise<Told | null> =>
      new Promise((done) => {
        const c = f.counters.get(id),
          box = f.boxes.get(id)!;
        if (!c || !box.up()) {
          done(null);
          return;
        }
        const life = box.life();
        const desk = OperatorApi.make(
          {
            clock: { mono: motor.now, wall: motor.now, after: () => () => undefined },
            random: motor.chance,
            wire: f.net.wire(box),
            disk: null,
            log: () => ({ info: () => undefined, warn: () => undefined }),
            recordEvent: () => undefined,
          },
          c,
        );
        motor.at(motor.now() + PATIENCE, () => done(null));
        void job(desk).then((r) => {
          if (box.life() === life) done(r);
        });
      });
    const daemon = (): string =>
      Random.pick(
        motor.chance,
        f.edgeIds.filter((id) => f.boxes.get(id)!.up()),
      ) ?? f.edgeIds[0]!;
    const write = (): FleetConfiguration => {
      const n = ++serial;
      return {
        ...f.d.charter,
        rules: f.d.charter.rules.map((r) => (r.name === 'changelog' ? { ...r, limit: 60 + (n % 40) } : r)),
      };
    };
    const plan = async (id: string, charter: unknown): Promise<{ told: Told | null; name: string }> => {
      const name = `plan-${++serial}`;
      const told = await call(id, (c) => c.plan({ charter, id: name }));
      tell({
        what: 'planned',
        who: id,
        at: motor.now(),
        plan: name,
        ...(told?.verdict.ran === 'yes' ? { base: told['base'] } : {}),
        ran: told?.verdict.ran ?? 'maybe',
        code: told?.verdict.code ?? 'torn',
      });
      return { told, name };
    };
    const confirm = async (id: string, name: string): Promise<Told | null> => {
      const told = await call(id, (c) => c.confirm({ plan: name }));
      tell({
        what: 'verdict',
        who: id,
        at: motor.now(),
        plan: name,
        ran: told?.verdict.ran ?? 'maybe',
        code: told?.verdict.code ?? 'torn',
        version: told?.['version'] ?? null,
      });
      return told;
    };
    /** Plans and confirms until it is done or `times` are up; true once confirmed. */
    const change = async (times = 20): Promise<boolean> => {
      for (let i = 0; i < times; i++) {
        const id = daemon();
        const p = await plan(id, write());
        if (p.told?.verdict.ran === 'yes') {
          for (let j = 0; j < 5; j++) {
            const done = await confirm(j === 0 ? id : daemon(), p.name);
            if (done?.verdict.code === 'confirmed') return true;
            if (done && done.verdict.ran === 'no' && done.verdict.code !== 'unready') break;
            await nap(400);
          }
        }
        await nap(300);
      }
      return false;
    };
    const glance = (of: string, who: string, from: number, version: unknown): void =>
      tell({ what: 'readback', who, at: motor.now(), of, from, version: version ?? null });
    /** Reads the charter back, and what status tells of each daemon. */
    const look = async (id = daemon()): Promise<void> => {
      const from = motor.now();
      const got = await call(id, (c) => c.read());
      if (got?.verdict.ran === 'yes') glance('core', id, from, got['version']);
      const again = motor.now(),
        all = await call(id, (c) => c.status());
      if (all?.verdict.ran !== 'yes') return;
      glance('core', id, again, all['version']);
      for (const row of all['daemons'] as { id: string; version: number | null }[])
        glance(row.id, id, again, row.version);
    };
    return {
      look,
      change,
      plan,
      confirm,
      write,
      daemon,
      /** n operators plan against one base, then all confirm at once. */
      async race(n: number): Promise<void> {
        const plans = await Promise.all(Array.from({ length: n }, () => plan(daemon(), write())));
        await Promise.all(plans.filter((p) => p.told?.verdict.ran === 'yes').map((p) => confirm(daemon(), p.name)));
      },
      async storm(n: number, gap: number): Promise<void> {
        for (let i = 0; i < n; i++) {
          void change(3);
          await nap(gap);
        }
      },
    };
  },
};
