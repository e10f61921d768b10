import { History, Text, type Deployment } from '@pumicebarrow/sim';
import type { Drive } from './drive.js';
import type { Planting } from './planting.js';

type Generation = { state: string; text?: string };
type Summary = { total: number; waiting: number; begun: number; ran: number; unsure: number };
type Told = { lines: string[]; broken: string[]; unmet: string[] };

const KEY = 'trial';
const SAMPLES = 12;
const PROMPTS = Array.from({ length: 16 }, (_, i) => ({ prefix: 'trial step ', part: `prompt ${i} ` }));

/**
 * A burst among real processes: it borrows, live load comes and takes its capacity back, and it runs to its end. Judged
 * by what the core holds of each generation and by what the servers wrote down that they ran.
 */
export const LentDay = {
  /** What is wrong with a burst's outcomes, and how often each generation ran. */
  judge(list: readonly Generation[], ran: readonly string[], pieces: number): string[] {
    const total = PROMPTS.length * SAMPLES;
    const out = list.length === total ? [] : [`the core holds ${list.length} generations of ${total}`];
    const times = new Map<string, number>();
    for (const key of ran) {
      const m = /^(.+)\.\d+$/.exec(key);
      if (m && key.startsWith(`${KEY}.`)) times.set(m[1]!, (times.get(m[1]!) ?? 0) + 1);
    }
    list.forEach((g, i) => {
      const n = times.get(`${KEY}.${i}`) ?? 0,
        p = PROMPTS[Math.floor(i / SAMPLES)]!,
        digest = Text.digest(p.prefix, p.part);
      const whole = Array.from({ length: Text.count(digest, pieces) }, (_, k) => Text.piece(digest, k + 1)).join('');
      if (n > 1) out.push(`${i} ran ${n} times`);
      if (g.state !== 'ran' && g.state !== 'unsure') out.push(`${i} has no outcome: ${g.state}`);
      if (g.state === 'ran' && n === 0) out.push(`${i} has an outcome and never ran`);
      if (g.state === 'ran' && g.text !== whole) out.push(`${i} has an outcome that is not what ran`);
    });
    return out;
  },
  async run(
    d: Deployment,
    plant: Planting,
    drive: ReturnType<typeof Drive.make>,
    say: (s: string) => void,
  ): Promise<Told> {
    const { tale } = plant;
    const read = async () => await drive.ask('GET', `http://${drive.edge()}/burst/${KEY}`);
    const summary = async (): Promise<Summary | null> => ((await read())?.['summary'] as Summary | undefined) ?? null;
    await plant.start();
    await drive.holds(await drive.change(d.charter));
    await drive.serves();
    const crowd = drive.crowd();
    crowd.start();
    const spec = { key: KEY, rule: 'rollout', prompts: PROMPTS, samples: SAMPLES, repeats: 0 };
    await drive.until('a burst begun', 30_000, async () => {
      const told = await drive.ask('POST', `http://${drive.edge()}/burst`, spec);
      return told?.verdict?.ran === 'yes';
    });
    say('A burst is begun.');
    for (let i = 0; i < 3; i++) {
      await drive.until('borrowed work under way', 60_000, async () => ((await summary())?.begun ?? 0) > 0);
      say('Borrowed work runs; live load comes.');
      crowd.burst(120);
      await drive.nap(2500);
    }
    let last: Summary | null = null;
    const ms = await drive.until('the end of the burst', 180_000, async () => {
      last = await summary();
      return last !== null && last.waiting + last.begun === 0;
    });
    say(`The burst is done, ${Math.round(ms / 1000)} s after the last load: ${JSON.stringify(last)}`);
    const list = ((await read())?.['generations'] as Generation[] | undefined) ?? [];
    await crowd.stop();
    const h = History.make(await tale.deeds(plant.dir));
    const pieces = d.charter.rules.find((r) => r.name === 'rollout')!.pieces;
    const broken = LentDay.judge(
      list,
      h.of('ran').map((x) => String(x['key'])),
      pieces,
    );
    if ((crowd.tally['wrong'] ?? 0) > 0) broken.push(`${crowd.tally['wrong']} live answers were wrong`);
    const unmet = ['loan', 'wouldwait', 'recalled'].filter((what) => h.of(what).length === 0);
    const lines = [
      `loans ${h.of('loan').length}, live requests that would wait ${h.of('wouldwait').length}, recalls ` +
        `${h.of('recalled').length}, given back ${h.of('generation').filter((x) => x['to'] === 'unrun').length}`,
      JSON.stringify({ live: crowd.tally }),
    ];
    return { lines, broken, unmet };
  },
};
