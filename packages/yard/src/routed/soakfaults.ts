import { Random, type RandomSource } from '@pumicebarrow/forms';
import { setTimeout as pause } from 'node:timers/promises';
import type { RoutedPlant } from './routedplant.js';

type Plant = Awaited<ReturnType<typeof RoutedPlant.make>>;
const BETWEEN = 700;
const DOWN = 1500;
const FROZEN = 2000;

/**
 * Signals and restarts in series that overlap: routers and replicas are killed, stopped in order, frozen and told to
 * read their settings, and now and then all are killed at once. At most one replica is away on its own at a time, and
 * whoever goes comes back.
 */
export const SoakFaults = {
  async run(plant: Plant, chance: RandomSource, ms: number): Promise<Record<string, number>> {
    const counts: Record<string, number> = {};
    const busy = new Set<string>();
    const under: Promise<void>[] = [];
    const replicas = plant.replicas.map((d) => d.id);
    const routers = plant.routers.map((d) => d.id);
    const away = (most: number): number => most * (0.1 + chance.real());
    const down = async (id: string, how: 'SIGKILL' | 'SIGTERM'): Promise<void> => {
      await plant.fall(id, how);
      await pause(away(DOWN));
      plant.rise(id);
    };
    const freeze = async (id: string): Promise<void> => {
      plant.signal(id, 'SIGSTOP');
      await pause(away(FROZEN));
      plant.signal(id, 'SIGCONT');
    };
    const strike = (what: string, ids: readonly string[], job: (id: string) => Promise<void>): void => {
      counts[what] = (counts[what] ?? 0) + 1;
      for (const id of ids) busy.add(id);
      under.push(
        Promise.all(ids.map(job)).then(() => {
          for (const id of ids) busy.delete(id);
        }),
      );
    };
    const one = (): void => {
      const free = (ids: readonly string[]): string[] => ids.filter((id) => !busy.has(id));
      const calm = free(replicas).length === replicas.length;
      const [router] = Random.sample(chance, free(routers), 1);
      const [replica] = calm ? Random.sample(chance, replicas, 1) : [];
      const lot = chance.real();
      if (lot < 0.06 && calm) strike('kill all', [...replicas, ...free(routers)], (id) => down(id, 'SIGKILL'));
      else if (lot < 0.14 && replica) strike('kill control replica', [replica], (id) => down(id, 'SIGKILL'));
      else if (lot < 0.22 && replica) strike('stop control replica', [replica], (id) => down(id, 'SIGTERM'));
      else if (lot < 0.3 && replica) strike('freeze control replica', [replica], freeze);
      else if (lot < 0.5 && router) strike('kill router', [router], (id) => down(id, 'SIGKILL'));
      else if (lot < 0.7 && router) strike('stop router', [router], (id) => down(id, 'SIGTERM'));
      else if (lot < 0.85 && router) strike('freeze router', [router], freeze);
      else for (const id of free([...replicas, ...routers])) plant.signal(id, 'SIGHUP');
    };
    for (const end = Date.now() + ms; Date.now() < end; await pause(BETWEEN * chance.real())) one();
    await Promise.all(under);
    return counts;
  },
};
