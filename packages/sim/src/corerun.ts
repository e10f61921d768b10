import { Random, type HistoryEvent } from '@pumicebarrow/forms';
import { Bench } from './bench.js';
import { CoreJudge } from './corejudge.js';
import { Engine } from './engine.js';
import { History } from './history.js';
import type { Scripter } from './scripter.js';
import type { Size } from './size.js';

const HEAL = 30_000;
const REST = 6000;

/** One run of the core alone: a first charter, a script, a quiet end with one more charter, and the judgement. */
export const CoreRun = {
  async run(seed: number, script: (s: Scripter) => Promise<void>, size?: Size) {
    const motor = Engine.make(seed),
      deeds: HistoryEvent[] = [];
    const b = Bench.make(
      motor,
      1 + Random.int(motor.chance, 8),
      (d) => {
        deeds.push(d);
      },
      size,
    );
    const note = (what: string, more: Record<string, unknown>): void => {
      deeds.push({ what, who: 'o1', at: motor.now(), ...more });
    };
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        motor.at(motor.now() + ms, done);
      });
    let serial = 0;
    const plan = async (): Promise<string | null> => {
      const id = `p${++serial}`,
        base = (await b.line.read(undefined, 1500))?.charter?.version;
      if (base === undefined && serial > 1) return null;
      const { ruling } = await b.line.write({ do: 'plan', id, base: base ?? 0, charter: b.charter(serial) });
      note('planned', { plan: id, base: base ?? 0, ran: ruling.verdict.ran, code: ruling.verdict.code });
      return ruling.verdict.ran === 'yes' ? id : null;
    };
    const confirm = async (id: string): Promise<boolean> => {
      const { ruling } = await b.line.write({ do: 'confirm', id });
      note('verdict', {
        plan: id,
        ran: ruling.verdict.ran,
        code: ruling.verdict.code,
        version: ruling.version ?? null,
      });
      return ruling.verdict.code === 'confirmed';
    };
    const s: Scripter = {
      b,
      nap,
      note,
      now: motor.now,
      deeds: () => deeds,
      plan,
      confirm,
      async until(fn, ms) {
        const end = motor.now() + ms;
        while (!fn() && motor.now() < end) await nap(0.1);
        return fn();
      },
      async spray(ms, every, fn) {
        for (const end = motor.now() + ms; motor.now() < end; await nap(every)) fn();
      },
      async change(n) {
        const ids = await Promise.all(Array.from({ length: n }, () => plan()));
        await Promise.all(ids.flatMap((id) => (id ? [confirm(id)] : [])));
      },
      async read() {
        const from = motor.now(),
          got = await b.reader.read(undefined, 2000);
        if (got) note('read', { from, version: got.charter?.version ?? 0 });
      },
      async lease(name, by) {
        const got = await b.line.write({ do: 'claim', name, id: by, born: 'x' }, 0),
          { fence } = got.ruling;
        if (got.ruling.verdict.ran !== 'yes' || fence === undefined) return;
        note('granted', { name, by, fence, from: got.sent, until: got.sent + got.term });
      },
      down(id, ms, meanwhile) {
        b.kill(id);
        meanwhile?.();
        motor.at(motor.now() + ms, () => {
          void b.start(id);
        });
      },
      async healed() {
        const from = motor.now();
        while (!b.whole() && motor.now() - from < HEAL) await nap(25);
        return b.whole();
      },
    };
    const passed = () =>
      [...b.cores.values()].flatMap((c) => c.core.chain.committed() ?? []).sort((x, y) => y.seq - x.seq)[0];
    let ended = false;
    const all = async (): Promise<void> => {
      for (const id of b.ids) void b.start(id);
      await nap(2500);
      await s.change(1);
      await script(s);
      for (const d of b.disks.values()) d.disarm();
      await nap(REST);
      note('healed', { whole: await s.healed() });
      await nap(REST);
      await s.change(1);
      await s.read();
      for (let i = 0; i < 100 && !passed(); i++) await nap(50);
      const state = passed();
      const won = Object.fromEntries(
        (state?.plans ?? []).filter((p) => p.fate === 'won').map((p) => [p.id, p.version]),
      );
      note('final', { won, version: state?.charter?.version ?? 0 });
      ended = true;
    };
    void all();
    for (let t = 0; !ended && t < 300_000; t += 500) await motor.run(t);
    return {
      deeds: deeds as readonly HistoryEvent[],
      broken: CoreJudge.judge(History.make(deeds), ended),
      events: motor.events(),
    };
  },
};
