import type { Deployment } from '@pumicebarrow/sim';
import type { Drive } from './drive.js';
import type { Planting } from './planting.js';

type Told = {
  tally: Record<string, number>;
  broken: string[];
  times: Record<string, number>;
  codes: Record<string, number | null>;
};

/** A short day with real processes: start, serve, kills of each kind, a last change, and an honest count. */
export const ShortDay = {
  async run(
    d: Deployment,
    plant: Planting,
    drive: ReturnType<typeof Drive.make>,
    say: (s: string) => void,
  ): Promise<Told> {
    const broken: string[] = [];
    const times: Record<string, number> = {};
    const took = async (what: string, job: Promise<number>): Promise<void> => {
      const ms = Math.round(await job);
      times[what] = ms;
      say(`${what}: ${ms} ms`);
    };
    await plant.start();
    const first = await drive.change(d.charter);
    await took('first charter everywhere', drive.holds(first));
    await took('the fleet is cast', drive.serves());
    const crowd = drive.crowd();
    crowd.start();
    await drive.nap(3000);

    const edge = plant.edges[plant.edges.length - 1]!.id;
    await plant.fall(edge, 'SIGKILL');
    say(`${edge} is killed.`);
    const back = plant.backs[0]!.id;
    await drive.gather([back]);
    await plant.fall(back, 'SIGKILL');
    say(`${back} is killed.`);
    await drive.nap(1500);
    const core = plant.cores[0]!.id;
    await plant.fall(core, 'SIGKILL');
    say(`${core}, the head, is killed.`);
    const next = {
      ...d.charter,
      rules: d.charter.rules.map((r) => (r.name === 'changelog' ? { ...r, limit: r.limit + 1 } : r)),
    };
    const from = performance.now();
    const version = await drive.change(next);
    times['a change with the head dead'] = Math.round(performance.now() - from);
    await took('it is held everywhere', drive.holds(version));
    await plant.wipe(core);
    await Promise.all([plant.rise(edge), plant.rise(back), plant.rise(core)]);
    say(`${edge}, ${back} and ${core} return, ${core} with an empty disk.`);
    await took('the returned edge holds it', drive.holds(version));
    await drive.until('the core is three again', 20_000, async () => {
      const s = await drive.ask('GET', `http://${drive.edge()}/status`);
      const view = s?.['view'] as { chain: unknown[]; voters: { id: string }[] } | null;
      return (view?.chain.length ?? 0) === 3;
    });
    const frozen = plant.edges[0]!;
    plant.signal(frozen.id, 'SIGSTOP');
    const later = { ...next, fallback: 'verdict' };
    await drive.nap(100);
    plant.town.list();
    const others = plant.edges.find((e) => e.id !== frozen.id)!;
    const p = await drive.ask('POST', `http://${others.http}/plan`, { charter: later });
    const c = await drive.ask('POST', `http://${others.http}/confirm`, { plan: p?.['plan'] });
    if (c?.verdict?.code !== 'confirmed') broken.push(`a change with an edge frozen: ${c?.verdict?.why ?? 'no reply'}`);
    await drive.nap(2500);
    plant.signal(frozen.id, 'SIGCONT');
    await took('the woken edge holds the last change', drive.holds(version + 1));
    const leaver = plant.edges[1]!.id;
    const code = await plant.fall(leaver, 'SIGTERM');
    if (code !== 0) broken.push(`${leaver} left with code ${code}`);
    await drive.nap(2000);
    await crowd.stop();
    await drive.gather(plant.backs.map((b) => b.id));
    for (const k of drive.twice()) broken.push(`${k} ran twice`);
    if (crowd.tally['wrong']) broken.push(`${crowd.tally['wrong']} outcomes were wrong`);
    if (!crowd.tally['whole']) broken.push('nothing was served');
    const list = crowd.took();
    times['median ms a whole outcome'] = Math.round(list[Math.floor(list.length / 2)] ?? 0);
    for (const [k, v] of Object.entries(crowd.tally).sort()) say(`  ${String(v).padStart(6)}  ${k}`);
    const codes = await plant.stop();
    for (const [id, x] of Object.entries(codes))
      if (!id.startsWith('m') && x !== 0) broken.push(`${id} stopped with code ${x}`);
    return { tally: crowd.tally, broken, times, codes };
  },
};
