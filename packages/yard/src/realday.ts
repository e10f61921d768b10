import { History, Nevers, type Deployment } from '@pumicebarrow/sim';
import type { Drive } from './drive.js';
import type { Planting } from './planting.js';

type Row = { name: string; checked: number; broken: string[]; worst: string };
type Told = { rows: Row[]; met: Record<string, number>; tally: Record<string, number> };
type Step = [name: string, run: () => Promise<void>];

/**
 * Real processes under the faults of the brief, link by link; what each process wrote down is judged by the checker
 * that judges the simulator's runs. A fault that left no trace fails the trial.
 */
export const RealDay = {
  async run(
    d: Deployment,
    plant: Planting,
    drive: ReturnType<typeof Drive.make>,
    say: (s: string) => void,
  ): Promise<Told> {
    const { links, tale, mark } = plant;
    const { nap } = drive;
    let serial = 0;
    const next = () => ({
      ...d.charter,
      rules: d.charter.rules.map((r) => ({ ...r, limit: r.limit + (++serial % 40) })),
    });
    const [a, b, c, e] = plant.backs.map((x) => x.id) as [string, string, string, string];
    const [e1, e2] = plant.edges.map((x) => x.id) as [string, string];
    const head = plant.cores[0]!.id;
    const reborn = async (id: string, ms: number): Promise<void> => {
      await plant.fall(id, 'SIGKILL');
      await nap(ms);
      await plant.rise(id);
    };
    const crowd = drive.crowd();
    const steps: Step[] = [
      [
        'slow link',
        async () => {
          links.get(a)!.slow(300);
          await nap(2500);
          links.get(a)!.slow(0);
        },
      ],
      [
        'late arrival',
        async () => {
          crowd.burst(60);
          links.get(b)!.cut(true);
          await nap(400);
          mark(b, 'draining');
          await nap(4000);
          links.get(b)!.cut(false);
          await nap(1500);
          await reborn(b, 100);
        },
      ],
      [
        'torn links',
        async () => {
          for (let i = 0; i < 5; i++) {
            crowd.burst(10);
            links.get(c)!.dropAfter(3000);
            await nap(300);
            links.get(c)!.reset();
            links.get(e2)!.reset();
          }
        },
      ],
      ['daemon killed', () => reborn(e1, 1500)],
      [
        'daemon frozen',
        async () => {
          plant.signal(e2, 'SIGSTOP');
          tale.tell({ what: 'frozen', who: e2, ms: 2600 });
          await drive.change(next());
          await nap(2500);
          plant.signal(e2, 'SIGCONT');
          await nap(500);
        },
      ],
      [
        'server frozen',
        async () => {
          crowd.burst(40);
          plant.signal(a, 'SIGSTOP');
          await nap(500);
          mark(a, 'draining');
          await nap(4000);
          plant.signal(a, 'SIGCONT');
          await nap(1000);
          await reborn(a, 100);
        },
      ],
      [
        'core wiped',
        async () => {
          await drive.change(next());
          await plant.fall(head, 'SIGKILL');
          await plant.wipe(head);
          await drive.change(next());
          await plant.rise(head);
          await nap(4000);
        },
      ],
      ['race', () => drive.race([next(), next(), next()])],
      [
        'storm',
        async () => {
          for (let i = 0; i < 8; i++) await drive.change(next());
        },
      ],
      [
        'release',
        async () => {
          for (const id of [c, e]) {
            mark(id, 'draining');
            await nap(3200);
            await plant.fall(id, 'SIGKILL');
            mark(id, 'gone');
            await nap(500);
            await plant.rise(id);
            await nap(1500);
          }
        },
      ],
      [
        'platform cut off',
        async () => {
          links.get('town')!.cut(true);
          await nap(3500);
          links.get('town')!.cut(false);
          await nap(1000);
        },
      ],
      [
        'all machines restart',
        async () => {
          const all = [...plant.cores, ...plant.edges].map((x) => x.id);
          await Promise.all(all.map((id) => plant.fall(id, 'SIGKILL')));
          await nap(1500);
          for (const id of all) await plant.rise(id);
        },
      ],
    ];
    await plant.start();
    await drive.holds(await drive.change(d.charter));
    await drive.serves();
    crowd.start();
    await nap(2000);
    for (const [name, run] of steps) {
      say(name);
      tale.tell({ what: 'fault', who: '-', name });
      await run();
    }
    tale.tell({ what: 'over', who: '-' });
    await nap(24_000);
    await crowd.stop();
    await drive.final();
    await plant.stop();
    const deeds = await tale.deeds(plant.dir);
    const h = History.make(deeds);
    const rows = Nevers.map((n) => {
      const got = n.judge(h);
      return {
        name: n.name,
        checked: got.checked,
        broken: got.broken.map((x) => `${x.why} ${JSON.stringify(x.deeds.slice(0, 6))}`),
        worst: got.worst,
      };
    });
    const met = Object.fromEntries(
      ['reach', 'late', 'killed', 'frozen', 'woke', 'extra', 'confirmed', 'ran'].map((w) => [w, h.of(w).length]),
    );
    return { rows, met, tally: crowd.tally };
  },
};
