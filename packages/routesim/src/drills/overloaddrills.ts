import { ClientLoads } from '../clientloads.js';
import type { Drill } from '../drill.js';
import { EngineModels } from '../enginemodels.js';
import { Met } from '../met.js';
import type { Scene } from '../scene.js';

/** ms between two servers that leave, and from the last of them to the end of all processes. */
const GAP = 6500;
const LAST = 2500;
/** ms from the kill until the processes are back, and for which the run goes on after that. */
const DOWN = 1000;
const AFTER = 17_000;
/** ms for which one tenant crowds the others. */
const CROWD = 25_000;

/** Servers leave one after the other until two are left, which are given the work of six. */
const leaveTwo = async (s: Scene): Promise<void> => {
  s.clients.use(ClientLoads.production);
  await s.f.nap(GAP);
  for (;;) {
    const left = s.f.platform.up().filter((x) => x.service === 'alpha' && !x.leaving());
    if (left.length <= 2) return;
    const stages = left.map((x) => x.stage());
    const twice = left.filter((x) => stages.filter((stage) => stage === x.stage()).length > 1);
    const [leaving] = s.trouble.some(
      twice.map((x) => x.id),
      1,
    );
    s.trouble.note('release', [leaving!], 8000, { planned: true });
    s.f.platform.retire(
      left.find((x) => x.id === leaving)!,
      false,
    );
    await s.f.nap(GAP);
  }
};

/** Far more work than the servers bear. */
export const OverloadDrills: readonly Drill[] = [
  {
    name: 'last_two_servers',
    about: 'four of six servers leave, two are overloaded, and all processes are killed',
    engine: EngineModels.large,
    async run(s) {
      await leaveTwo(s);
      await s.f.nap(LAST);
      s.clients.closed(DOWN);
      s.trouble.kill([...s.f.replicaIds, ...s.f.routerIds], DOWN);
      await s.f.nap(DOWN + AFTER);
    },
    meets: Met.what('closed'),
  },
  {
    name: 'tenant_crowd',
    about: 'two of six servers are left, and most of what they are given far too much of is of one tenant',
    engine: EngineModels.large,
    async run(s) {
      await leaveTwo(s);
      s.clients.use(ClientLoads.crowded);
      await s.f.nap(CROWD);
    },
    meets: Met.outcome('refused'),
  },
];
