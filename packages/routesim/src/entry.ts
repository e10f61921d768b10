import type { Playing } from './playing.js';

const LOOK = 1000;
const MISSES = 2;

/** Where new connections go: routers that say they are ready. One goes out after two misses; few left, all are in. */
export const Entry = {
  make(f: Playing) {
    const misses = new Map(f.routerIds.map((id) => [id, MISSES]));
    const look = (): void => {
      for (const id of f.routerIds) {
        const well = f.boxes.get(id)!.up() && !f.boxes.get(id)!.frozen() && (f.routers.get(id)?.ready() ?? false);
        misses.set(id, well ? 0 : (misses.get(id) ?? 0) + 1);
      }
      f.motor.at(f.motor.now() + LOOK, look);
    };
    return {
      start: look,
      pick(not: string | null): string {
        const well = f.routerIds.filter((id) => (misses.get(id) ?? 0) < MISSES);
        const list = well.length * 2 < f.routerIds.length ? f.routerIds : well;
        const some = list.filter((id) => id !== not);
        const from = some.length > 0 ? some : list;
        return from[Math.floor(f.motor.chance.real() * from.length)]!;
      },
    };
  },
};
