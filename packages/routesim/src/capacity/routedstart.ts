import { Hollow, Tally, type Figure } from '@pumicebarrow/sim';
import { HollowFleet } from './hollowfleet.js';
import { HollowRouting } from './hollowrouting.js';
import { MeteredMotor } from './meteredmotor.js';

const SETTLE = 8000;
const LOOK = 20;
const LONGEST = 30_000;

/** A router that starts with nothing in a fleet of 25: how long until it is ready, and what it took. */
export const RoutedStart = {
  async run(servers: number, seed: number, slow: number): Promise<Figure[]> {
    const motor = MeteredMotor.make(seed),
      tally = Tally.make();
    const f = await HollowFleet.make(
      motor,
      { routers: 25, replicas: 5, servers, slow },
      { exchange: tally.add, held: () => undefined },
    );
    motor.at(3000, () => void f.replicas.get('k5')!.replace(0, HollowRouting.make(1, 8)));
    await motor.run(SETTLE);
    tally.reset();
    const late = f.join();
    while (!late.ready() && motor.now() < SETTLE + LONGEST) await motor.run(motor.now() + LOOK);
    const a = { run: slow > 0 ? 'start, far' : 'start', axis: 'servers', at: servers };
    const bytes = [...tally.mean(['late']).values()].reduce((x, s) => x + s.in + s.out, 0);
    return [
      Hollow.figure(a, 'router', 'until it is ready', 'ms', late.ready() ? motor.now() - SETTLE : NaN),
      Hollow.figure(a, 'router', 'until it is ready', 'B', bytes),
    ];
  },
};
