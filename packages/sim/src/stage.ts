import type { HistoryEvent } from '@pumicebarrow/forms';
import { Callers } from './callers.js';
import type { Deployment } from './deployment.js';
import { Engine } from './engine.js';
import { Fleet } from './fleet.js';
import type { Fleeting } from './fleeting.js';
import { History } from './history.js';
import { Operators } from './operators.js';
import type { Scene } from './scene.js';

type Script = (s: Scene) => Promise<void>;

/** Runs one script over a whole fleet in virtual time: 12 s of start, the script under traffic, a quiet end. */
export const Stage = {
  async run(
    d: Deployment,
    seed: number,
    script: Script,
    after = 22_000,
    before: (f: Fleeting) => void = () => undefined,
  ) {
    const deeds: HistoryEvent[] = [];
    const motor = Engine.make(seed);
    const tell = (x: HistoryEvent): void => {
      deeds.push(x);
    };
    const f = Fleet.make(motor, d, tell);
    const callers = Callers.make(f, tell),
      ops = Operators.make(f, tell);
    const nap = (ms: number): Promise<void> =>
      new Promise((done) => {
        motor.at(motor.now() + ms, done);
      });
    const note = (what: string, more: Record<string, unknown>): void =>
      tell({ what, who: '-', at: motor.now(), ...more });
    const scene: Scene = {
      f,
      callers,
      ops,
      nap,
      park: f.park,
      note,
      deeds: () => deeds,
      real: () => motor.chance.real(),
      cut(a, b, ms, oneway = false) {
        const lift = f.net.cut(a, b, oneway),
          before = f.net.met();
        note('cut', { ids: [...a, ...b], until: motor.now() + ms });
        motor.at(motor.now() + ms, () => {
          lift();
          note('lifted', { met: f.net.met().held - before.held });
        });
      },
      now: motor.now,
    };
    before(f);
    f.startAll();
    let over = false;
    motor.at(3000, () => {
      void (async () => {
        await ops.change(40);
        await nap(12_000 - motor.now());
        callers.start();
        void (async () => {
          while (!over) {
            await nap(400 + motor.chance.real() * 800);
            void ops.look();
          }
        })();
        await nap(3000);
        await script(scene);
        note('over', {});
        await nap(after);
        callers.stop();
        await nap(12_000);
        const tails = [...f.cores.values()]
          .map((c) => c.core.chain.committed())
          .filter((s) => s !== null)
          .sort((a, b) => b.seq - a.seq);
        const won = Object.fromEntries(
          (tails[0]?.plans ?? []).filter((p) => p.fate === 'won').map((p) => [p.id, p.version]),
        );
        note('final', { version: tails[0]?.charter?.version ?? 0, won });
        over = true;
      })();
    });
    for (let t = 0; !over && t < 1_500_000; t += 1000) await motor.run(t);
    return { history: History.make(deeds), f, events: motor.events(), ended: over };
  },
};
