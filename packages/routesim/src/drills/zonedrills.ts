import { Bounds } from '../bounds.js';
import type { Drill } from '../drill.js';
import type { Scene } from '../scene.js';
import type { Seen } from '../seen.js';
import type { Size } from '../size.js';
import { Sizes } from '../sizes.js';

/** Longer than any run lasts. */
const FOR_GOOD_MS = 400_000;
const SHORT_LOSS_MS = 6000;
/** From the return of machines until they count as present again and all are in touch. */
const SETTLING_MS = Bounds.catchUp + Bounds.contact;

/** All machines of some zones lose power at once. */
const loseZones = (scene: Scene, zones: readonly string[], ms: number): void => {
  const inZones = (ids: readonly string[]): string[] =>
    ids.filter((id) => zones.includes(scene.fleet.boxes.get(id)!.site));
  scene.trouble.kill(inZones(scene.fleet.replicaIds), ms, true);
  scene.trouble.kill(inZones(scene.fleet.routerIds), ms, true);
};
/** The core serves a change once the time for recovery is over. */
const recoverAndChange = async (scene: Scene): Promise<void> => {
  await scene.fleet.nap(Bounds.recovery);
  await scene.operators.change();
};
const changedAfterLastKill = (seen: readonly Seen[]): boolean => {
  const killedAt = seen.findLast((x) => x.what === 'trouble' && x.kind === 'kill')?.at ?? Infinity;
  return seen.some((x) => x.what === 'ruled' && x.outcome === 'acked' && x.at > killedAt);
};
const drill = (name: string, about: string, size: Size, run: Drill['run']): Drill => ({
  ...{ name, about, size, run },
  meets: changedAfterLastKill,
});
const lostForGood = (zone: string): Drill =>
  drill(`zone_lost_${zone}`, `zone ${zone} of three is lost for good`, Sizes.zoned, async (scene) => {
    loseZones(scene, [zone], FOR_GOOD_MS);
    await recoverAndChange(scene);
  });
const lostInTurn = (first: string, second: string): Drill =>
  drill(
    `zones_in_turn_${first}_${second}`,
    `zone ${first} is lost and comes back; then zone ${second} is lost for good`,
    Sizes.zoned,
    async (scene) => {
      loseZones(scene, [first], SHORT_LOSS_MS);
      await scene.fleet.nap(SHORT_LOSS_MS + SETTLING_MS);
      await scene.operators.change();
      loseZones(scene, [second], FOR_GOOD_MS);
      await recoverAndChange(scene);
    },
  );

/**
 * Losses of zones and regions that the settings tolerate. Each guards against an acknowledged configuration that is
 * gone with one zone or region, since that held most of the votes.
 */
export const ZoneDrills: readonly Drill[] = [
  lostForGood('z1'),
  lostForGood('z2'),
  lostForGood('z3'),
  lostInTurn('z3', 'z1'),
  lostInTurn('z3', 'z2'),
  lostInTurn('z1', 'z2'),
  lostInTurn('z2', 'z1'),
  drill(
    'zone_lost_after_replace',
    'control replicas are replaced, one planned and one not; then a zone is lost for good',
    Sizes.zoned,
    async (scene) => {
      await scene.trouble.replace(scene.fleet.replicaIds[0]!, true);
      await scene.fleet.nap(SETTLING_MS);
      await scene.trouble.replace(scene.fleet.replicaIds.at(-2)!, false);
      await scene.fleet.nap(SETTLING_MS);
      await scene.operators.change();
      loseZones(scene, ['z1'], FOR_GOOD_MS);
      await recoverAndChange(scene);
    },
  ),
  drill(
    'zone_lost_after_leaves',
    'every control replica gets SIGTERM, one after the other; then a zone is lost for good',
    Sizes.zoned,
    async (scene) => {
      await scene.trouble.term([...scene.fleet.replicaIds], 1, SETTLING_MS);
      await scene.operators.change();
      loseZones(scene, ['z2'], FOR_GOOD_MS);
      await recoverAndChange(scene);
    },
  ),
  drill('region_lost', 'a region with two of five zones is lost for good', Sizes.regional, async (scene) => {
    loseZones(scene, ['z1', 'z3'], FOR_GOOD_MS);
    await recoverAndChange(scene);
  }),
];
