import { Random } from '@pumicebarrow/forms';
import { setTimeout as pause } from 'node:timers/promises';
import { RoutedPlant } from './routedplant.js';
import { SoakClients } from './soakclients.js';
import { SoakFaults } from './soakfaults.js';
import { SoakKeys } from './soakkeys.js';
import { SoakOperator } from './soakoperator.js';
import type { SoakReport } from './soakreport.js';

type Options = { seed: number; routers: number; clients: number; ms: number; dir: string; shared?: boolean };
const RECOVERY = 12_000;
const TRIES = 20;
const SERVED = 18;

/** Real processes under signals, restarts and changes that overlap, judged by what clients and an operator saw. */
export const Soak = {
  async run(o: Options): Promise<SoakReport & { events: Record<string, number>; changes: number }> {
    const chance = Random.seeded(o.seed);
    const report: SoakReport = { faults: [], counts: {} };
    const plant = await RoutedPlant.make(
      { replicas: 3, routers: o.routers, prefill: 2, decode: 2, shared: o.shared ?? false },
      o.dir,
    );
    try {
      await plant.start();
      const operator = SoakOperator.start(plant.replicas, RoutedPlant, chance, report);
      for (const end = Date.now() + RECOVERY; operator.acked() === 0 && Date.now() < end;) await pause(50);
      const clients = SoakClients.start(plant.entries, chance, o.clients, report);
      const events = await SoakFaults.run(plant, chance, o.ms);
      await clients.stop();
      await operator.stop();
      await operator.change();
      let shown: number | null = null;
      for (const end = Date.now() + RECOVERY; shown === null && Date.now() < end; await pause(50))
        shown = await operator.read();
      if (shown !== operator.acked())
        report.faults.push(`read back ${String(shown)}; ${operator.acked()} was acknowledged`);
      const end = Date.now() + RECOVERY;
      let served = 0;
      while (served < SERVED && Date.now() < end) served = await clients.served(TRIES);
      if (served < SERVED)
        report.faults.push(`${served} of ${TRIES} requests were served ${RECOVERY} ms after the last fault`);
      report.faults.push(...plant.ended, ...SoakKeys.faults(plant, clients.sent()));
      return { ...report, events, changes: operator.acked() };
    } finally {
      await plant.stop();
    }
  },
};
