import type { Fleet } from './fleet.js';

const LOOK = 1000;
const MISSES = 2;

/** Where new connections go: routers that say they are ready. One goes out after two misses; few left, all are in. */
export const Entry = {
  make(fleet: Fleet) {
    const misses = new Map(fleet.routerIds.map((id) => [id, MISSES]));
    const look = (): void => {
      for (const id of fleet.routerIds) {
        const well =
          fleet.boxes.get(id)!.up() && !fleet.boxes.get(id)!.frozen() && (fleet.routers.get(id)?.ready() ?? false);
        misses.set(id, well ? 0 : (misses.get(id) ?? 0) + 1);
      }
      fleet.motor.at(fleet.motor.now() + LOOK, look);
    };
    return {
      start: look,
      pick(not: string | null): string {
        const well = fleet.routerIds.filter((id) => (misses.get(id) ?? 0) < MISSES);
        const list = well.length * 2 < fleet.routerIds.length ? fleet.routerIds : well;
        const some = list.filter((id) => id !== not);
        const from = some.length > 0 ? some : list;
        return from[Math.floor(fleet.motor.chance.real() * from.length)]!;
      },
    };
  },
};
