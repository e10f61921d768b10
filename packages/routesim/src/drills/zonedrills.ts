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
const loseZones = (s: Scene, zones: readonly string[], ms: number): void => {
  const inZones = (ids: readonly string[]): string[] => ids.filter((id) => zones.includes(s.f.boxes.get(id)!.site));
  s.trouble.kill(inZones(s.f.replicaIds), ms, true);
  s.trouble.kill(inZones(s.f.routerIds), ms, true);
};
/** The core serves a change once the time for recovery is over. */
const recoverAndChange = async (s: Scene): Promise<void> => {
  await s.f.nap(Bounds.recovery);
  await s.operators.change();
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
  drill(`zone_lost_${zone}`, `zone ${zone} of three is lost for good`, Sizes.zoned, async (s) => {
    loseZones(s, [zone], FOR_GOOD_MS);
    await recoverAndChange(s);
  });
const lostInTurn = (first: string, second: string): Drill =>
  drill(
    `zones_in_turn_${first}_${second}`,
    `zone ${first} is lost and comes back; then zone ${second} is lost for good`,
    Sizes.zoned,
    async (s) => {
      loseZones(s, [first], SHORT_LOSS_MS);
      await s.f.nap(SHORT_LOSS_MS + SETTLING_MS);
      await s.operators.change();
      loseZones(s, [second], FOR_GOOD_MS);
      await recoverAndChange(s);
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
    async (s) => {
      await s.trouble.replace(s.f.replicaIds[0]!, true);
      await s.f.nap(SETTLING_MS);
      await s.trouble.replace(s.f.replicaIds.at(-2)!, false);
      await s.f.nap(SETTLING_MS);
      await s.operators.change();
      loseZones(s, ['z1'], FOR_GOOD_MS);
      await recoverAndChange(s);
    },
  ),
  drill(
    'zone_lost_after_leaves',
    'every control replica gets SIGTERM, one after the other; then a zone is lost for good',
    Sizes.zoned,
    async (s) => {
      await s.trouble.term([...s.f.replicaIds], 1, SETTLING_MS);
      await s.operators.change();
      loseZones(s, ['z2'], FOR_GOOD_MS);
      await recoverAndChange(s);
    },
  ),
  drill('region_lost', 'a region with two of five zones is lost for good', Sizes.regional, async (s) => {
    loseZones(s, ['z1', 'z3'], FOR_GOOD_MS);
    await recoverAndChange(s);
  }),
];
