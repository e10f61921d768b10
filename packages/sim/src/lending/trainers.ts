import { Random } from '@pumicebarrow/forms';
import { LendingApi, type CounterDaemon } from '@pumicebarrow/counter';
import type { Generation } from '@pumicebarrow/registry';
import type { Scene } from '../scene.js';
import { Text } from '../text.js';

type Spec = {
  key: string;
  rule: string;
  prompts: { prefix: string; part: string }[];
  samples: number;
  repeats: number;
};
const PATIENCE = 5000;

/** Simulated trainers: they begin bursts, leave, come back at another daemon, and check every outcome. */
export const Trainers = {
  make(s: Scene) {
    const specs: Spec[] = [];
    const up = (): CounterDaemon[] => [...s.f.counters.values()].filter((c) => s.f.boxes.get(c.ident.id)?.up());
    /** One call at some daemon; null when nothing came back. */
    const call = <T>(job: (c: ReturnType<typeof LendingApi.make>) => Promise<T>): Promise<T | null> => {
      const d = Random.pick({ real: s.real }, up());
      if (!d) return s.nap(300).then(() => null);
      return Promise.race([job(LendingApi.make(d)), s.nap(PATIENCE).then(() => null)]);
    };
    const begin = async (key: string, prompts: number, samples: number, repeats = 0): Promise<void> => {
      const spec: Spec = {
        ...{ key, rule: 'rollout', samples, repeats },
        prompts: Array.from({ length: prompts }, (_, i) => ({ prefix: `${key} step `, part: `prompt ${i} ` })),
      };
      for (;;) {
        const told = await call((c) => c.begin(spec));
        if (told?.verdict.ran === 'yes') break;
        await s.nap(400);
      }
      specs.push(spec);
      const digests = spec.prompts.flatMap((p) => Array<string>(samples).fill(Text.digest(p.prefix, p.part)));
      s.note('burst', { key, total: prompts * samples, repeats, digests });
    };
    const look = async (key: string): Promise<readonly Generation[] | null> =>
      ((await call((c) => c.burst(key)))?.['generations'] as readonly Generation[] | undefined) ?? null;
    const expected = (spec: Spec, index: number): string => {
      const p = spec.prompts[Math.floor(index / spec.samples)]!,
        digest = Text.digest(p.prefix, p.part);
      return Array.from({ length: Text.count(digest, 24) }, (_, n) => Text.piece(digest, n + 1)).join('');
    };
    const over = (g: Generation): boolean => g.state !== 'waiting' && g.state !== 'begun';
    return {
      begin,
      look,
      /** The daemon that has the most borrowed requests in hand. */
      runner: (): string | null =>
        up()
          .filter((c) => c.lending.inProgress() > 0)
          .sort((a, b) => b.lending.inProgress() - a.lending.inProgress())[0]?.ident.id ?? null,
      /** A server that is lent to a daemon, and who lends it. */
      loan: (holder: string) =>
        up()
          .flatMap((c) => c.lending.loans())
          .find((l) => l.holder === holder && l.by !== holder && l.slots > 0 && s.f.boxes.get(l.by)?.up()) ?? null,
      /** Whether something borrowed is marked, and has no server yet. */
      queued: (): boolean => up().some((c) => c.lending.inProgress() > c.lending.inFlight()),
      /** A decode server with borrowed streams; null while there is none. */
      streaming: (): string | null =>
        up()
          .flatMap((c) => c.lending.streaming())
          .find((id) => s.park.get(id).open.size > 0) ?? null,
      /** A decode server that a daemon writes at, and has borrowed from another; null while there is none. */
      written(): { server: string; holder: string; by: string } | null {
        const near = (id: string): boolean => s.f.boxes.get(id)?.up() === true;
        for (const c of up()) {
          const at = c.lending.streaming();
          const l = c.lending.loans().find((x) => at.includes(x.server) && x.holder === c.ident.id && x.slots > 0);
          if (l && l.by !== l.holder && near(l.by)) return { server: l.server, holder: l.holder, by: l.by };
        }
        return null;
      },
      /** Whether a lender has told of a lapse of this server's loan since this was asked for. */
      lapses(server: string): () => boolean {
        let next = s.deeds().length;
        let told = false;
        return () => {
          for (const all = s.deeds(); !told && next < all.length; next++)
            told = all[next]!.what === 'lapsed' && all[next]!['server'] === server;
          return told;
        };
      },
      async until(fits: () => boolean, ms: number): Promise<boolean> {
        const end = s.now() + ms;
        while (!fits() && s.now() < end) await s.nap(10);
        return fits();
      },
      /** Waits until every burst is over, or until it has taken too long; tells what became of each generation. */
      async finish(ms: number): Promise<void> {
        const end = s.now() + ms;
        for (const spec of specs) {
          let list = await look(spec.key);
          while ((!list || !list.every(over)) && s.now() < end) {
            await s.nap(500);
            list = (await look(spec.key)) ?? list;
          }
          const wrong = (list ?? []).filter((g, i) => g.state === 'ran' && g.text !== expected(spec, i)).length;
          s.note('burstfinal', {
            key: spec.key,
            total: list?.length ?? 0,
            open: list?.filter((g) => !over(g)).length ?? -1,
            ran: list?.filter((g) => g.state === 'ran').length ?? 0,
            unsure: list?.filter((g) => g.state === 'unsure').length ?? 0,
            ranat: (list ?? []).flatMap((g, i) => (g.state === 'ran' ? [i] : [])),
            wrong,
          });
          let told = await call((c) => c.end(spec.key));
          for (let i = 0; i < 5 && told?.verdict.ran !== 'yes'; i++) told = await call((c) => c.end(spec.key));
          s.note('burstend', { key: spec.key, code: told?.verdict.code ?? 'torn' });
        }
      },
    };
  },
};
