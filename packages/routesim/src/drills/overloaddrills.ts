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
const leaveTwo = async (scene: Scene): Promise<void> => {
  scene.clients.use(ClientLoads.production);
  await scene.fleet.nap(GAP);
  for (;;) {
    const left = scene.fleet.platform.up().filter((x) => x.service === 'alpha' && !x.leaving());
    if (left.length <= 2) return;
    const stages = left.map((x) => x.stage());
    const twice = left.filter((x) => stages.filter((stage) => stage === x.stage()).length > 1);
    const [leaving] = scene.trouble.some(
      twice.map((x) => x.id),
      1,
    );
    scene.trouble.note('release', [leaving!], 8000, { planned: true });
    scene.fleet.platform.retire(
      left.find((x) => x.id === leaving)!,
      false,
    );
    await scene.fleet.nap(GAP);
  }
};

/** Far more work than the servers bear. */
export const OverloadDrills: readonly Drill[] = [
  {
    name: 'last_two_servers',
    about: 'four of six servers leave, two are overloaded, and all processes are killed',
    engine: EngineModels.large,
    async run(scene) {
      await leaveTwo(scene);
      await scene.fleet.nap(LAST);
      scene.clients.closed(DOWN);
      scene.trouble.kill([...scene.fleet.replicaIds, ...scene.fleet.routerIds], DOWN);
      await scene.fleet.nap(DOWN + AFTER);
    },
    meets: Met.what('closed'),
  },
  {
    name: 'tenant_crowd',
    about: 'two of six servers are left, and most of what they are given far too much of is of one tenant',
    engine: EngineModels.large,
    async run(scene) {
      await leaveTwo(scene);
      scene.clients.use(ClientLoads.crowded);
      await scene.fleet.nap(CROWD);
    },
    meets: Met.outcome('refused'),
  },
];
