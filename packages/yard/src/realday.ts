import { History, Meets, Nevers, type Deployment } from '@pumicebarrow/sim';
import type { Drive } from './drive.js';
import type { Planting } from './planting.js';

type Row = { name: string; checked: number; broken: string[]; worst: string };
type Told = { rows: Row[]; unmet: string[]; tally: Record<string, number> };
type Step = [name: string, meets: readonly (keyof typeof Meets)[], run: () => Promise<void>];

/**
 * Real processes under the faults of the brief, link by link; what each process wrote down is judged by the checker
 * that judges the simulator's runs. A step that did not bring about what it `meets` fails the trial.
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
    /** Cuts daemons off from others for a while, and changes the charter meanwhile. */
    const apart = async (some: readonly string[], rest: readonly string[], ms: number): Promise<void> => {
      const before = plant.cut(true, some, rest);
      tale.tell({ what: 'cut', who: '-', ids: [...some, ...rest], until: Date.now() + ms });
      const done = drive.change(next());
      await nap(ms);
      tale.tell({ what: 'lifted', who: '-', met: plant.cut(false, some, rest) - before });
      await done;
      await nap(1500);
    };
    const daemons = [...plant.cores, ...plant.edges].map((x) => x.id);
    const tail = plant.cores.at(-1)!.id;
    const steps: Step[] = [
      [
        'slow link',
        ['gated'],
        async () => {
          links.get(a)!.slow(300);
          await nap(2500);
          links.get(a)!.slow(0);
        },
      ],
      [
        'late arrival',
        ['late', 'draining'],
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
        ['fellbusy'],
        async () => {
          for (let i = 0; i < 5; i++) {
            crowd.burst(10);
            links.get(c)!.dropAfter(3000);
            await nap(300);
            for (const id of [c, e2]) tale.tell({ what: 'fell', who: id, open: links.get(id)!.reset() });
          }
        },
      ],
      ['daemon killed', ['killed'], () => reborn(e1, 1500)],
      [
        'daemon frozen',
        ['frozen', 'apart', 'woke'],
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
        ['late', 'draining'],
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
        ['corekilled', 'apart'],
        async () => {
          await drive.change(next());
          await plant.fall(head, 'SIGKILL');
          await plant.wipe(head);
          await drive.change(next());
          await plant.rise(head);
          await nap(4000);
        },
      ],
      ['race', ['beaten'], () => drive.race([next(), next(), next()])],
      [
        'storm',
        ['storm'],
        async () => {
          for (let i = 0; i < 8; i++) await drive.change(next());
        },
      ],
      [
        'release',
        ['draining'],
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
        'core cut in two',
        ['cutmet', 'apart', 'view'],
        () =>
          apart(
            [tail],
            daemons.filter((x) => x.startsWith('c') && x !== tail),
            5000,
          ),
      ],
      [
        'machine cut off',
        ['cutmet', 'apart'],
        () =>
          apart(
            [e2],
            daemons.filter((x) => x !== e2),
            4000,
          ),
      ],
      [
        'core cut off',
        ['cutmet'],
        () =>
          apart(
            daemons.filter((x) => x.startsWith('c')),
            plant.edges.map((x) => x.id),
            4000,
          ),
      ],
      [
        'memory lapses',
        ['lapsed'],
        async () => {
          for (let i = 0; i < 30; i++) {
            crowd.burst(6);
            for (const b of plant.backs) void drive.ask('POST', `http://${b.addr}/lapse`);
            await nap(100);
          }
        },
      ],
      [
        'platform cut off',
        ['oldlist'],
        async () => {
          links.get('town')!.cut(true);
          await nap(3500);
          links.get('town')!.cut(false);
          await nap(1000);
        },
      ],
      [
        'all machines restart',
        ['corekilled', 'killed'],
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
    for (const [name, , run] of steps) {
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
    const faults = h.of('fault');
    const unmet = steps.flatMap(([name, meets], i) => {
      const list = deeds.filter((x) => x.at >= faults[i]!.at && x.at <= (faults[i + 1]?.at ?? Infinity));
      return meets.filter((m) => Meets[m](list) === 0).map((m) => `${name}: ${m}`);
    });
    return { rows, unmet, tally: crowd.tally };
  },
};
