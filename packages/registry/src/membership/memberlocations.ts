import { ExpiringMap, type Clock, type Ident } from '@pumicebarrow/forms';
import type { MemberLocation } from './memberlocation.js';

/** Member incarnations whose location is remembered, and for how long after their last message. */
const MAX_MEMBERS = 64;
const LOCATION_TTL_MS = 60_000;
type Identity = { id: string; born: string };

/**
 * Where the control replicas are. Each message names its sender's zone; the region of a zone is in the settings. So
 * neither views nor messages have to carry locations, and a replica that moves is found at its new place.
 */
export const MemberLocations = {
  make(clock: Clock, self: () => Ident, regionOf: (zone: string) => string) {
    const zones = ExpiringMap.make<string>(clock.mono, MAX_MEMBERS);
    const identityKey = (identity: Identity): string => `${identity.id}/${identity.born}`;
    const zoneOf = (identity: Identity): string | undefined =>
      identityKey(identity) === identityKey(self()) ? self().site : zones.get(identityKey(identity));
    return {
      /** Notes the zone of a replica that sent a message. */
      record: (sender: Ident): void => zones.set(identityKey(sender), sender.site, LOCATION_TTL_MS),
      /** Null if the replica has not been heard for a long time. */
      locate(identity: Identity): MemberLocation | null {
        const zone = zoneOf(identity);
        return zone === undefined ? null : { zone, region: regionOf(zone) };
      },
    };
  },
};
/** Locations of control replicas as their users see them. */
export type MemberLocations = ReturnType<typeof MemberLocations.make>;
