import type { RoutedPlant } from './routedplant.js';

type Plant = Awaited<ReturnType<typeof RoutedPlant.make>>;
const TENANTS = ['one', 'two'] as const;
/** A configuration holds so many keys that come and go: its own, and those of the ones before it. */
const KEPT = 3;
/** One request of so many shows a key that no configuration ever held. */
const STRANGE = 25;
const tenantOf = (serial: number): string => TENANTS[serial % TENANTS.length]!;
const own = (revision: number): string => `change-${revision}`;

/** The keys of a soak: clients keep theirs, while others come and go with each configuration. */
export const SoakKeys = {
  /** The tenants of the configuration of a revision, with their keys. */
  tenants: (revision: number): Record<string, string[]> =>
    Object.fromEntries(
      TENANTS.map((name, i) => {
        const late = Array.from({ length: KEPT }, (_, n) => own(revision - n));
        return [name, [`client-${name}`, ...(i === 0 ? late : [])]];
      }),
    ),
  /** Whether the request of this number shows a key that is never held. */
  strange: (serial: number): boolean => serial % STRANGE === 0,
  /** The key that the request of this number shows. */
  shown: (serial: number): string => (SoakKeys.strange(serial) ? 'never-held' : `client-${tenantOf(serial)}`),
  /** What is wrong with what servers were told of clients. */
  faults(plant: Plant, ids: readonly { id: string; serial: number }[]): string[] {
    return ids.flatMap(({ id, serial }) =>
      plant.received(id).flatMap((r) => {
        if (r.credentials !== null) return [`${id} came to a server with its key`];
        if (SoakKeys.strange(serial)) return [`${id} came to a server with a key that was never held`];
        return r.tenant === tenantOf(serial) ? [] : [`${id} came to a server as of ${String(r.tenant)}`];
      }),
    );
  },
};
