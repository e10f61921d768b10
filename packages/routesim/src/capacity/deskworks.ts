import { RendezvousHash, type Clock, type Ident, type Messenger } from '@pumicebarrow/forms';
import { CheckinHandler } from '@pumicebarrow/router';
import { Timed, type Figure } from '@pumicebarrow/sim';
import { RoutedWorks } from './routedworks.js';
import { Weighings } from './weighings.js';

const FEW = 6;
const CHECKIN = { version: 1, list: null, epoch: 1, peers: '', load: { read: 1, beside: 1, run: 1 } };
const clock: Clock = { mono: () => 5000, wall: () => 5000, after: () => () => undefined };

/** The head's desk for check-ins, alone, by how many routers there are. */
export const DeskWorks = {
  head: (post: Messenger, mono: () => number) =>
    CheckinHandler.make({
      ...{
        clock: { ...clock, mono },
        post,
        view: () => null,
        isActingHead: () => true,
        configurationVersion: () => 1,
        publishedList: () => null,
      },
    }),
  /** What the head keeps of routers that checked in until all have their peers. */
  heap: (n: number): number =>
    Timed.heap(() => {
      const time = { now: 5000 };
      const { post, hear } = RoutedWorks.post();
      const desk = DeskWorks.head(post, () => time.now);
      const round = (): number =>
        Weighings.of(() => {
          for (let i = 0; i < n; i++) hear('keeper.checkin', CHECKIN, RoutedWorks.ident(i));
        });
      for (let more = round(); more > 0; more = round()) time.now += 450;
      return [desk, post, hear];
    }),
  kept: (n: number): Figure[] => [
    RoutedWorks.of('routers', n, 'head')('the routers that it knows', 'heap', DeskWorks.heap(n)),
  ],
  /** What the head does for one check-in, by how many routers there are. */
  run(n: number): Figure[] {
    const one = RoutedWorks.of('routers', n, 'head');
    const all = Array.from({ length: n }, (_, i) => RoutedWorks.ident(i));
    const time = { now: 5000 };
    const { post, hear } = RoutedWorks.post();
    DeskWorks.head(post, () => time.now);
    const checkin = (who: Ident): void => void hear('keeper.checkin', CHECKIN, who);
    const begun = performance.now();
    const first = Weighings.of(() => all.forEach(checkin));
    // The head weighs a part of the names at a time.
    for (let more = first; more > 0;) {
      time.now += 450;
      more = Weighings.of(() => all.forEach(checkin));
    }
    const begin = performance.now() - begun;
    // One goes and another comes: the others check in twice meanwhile, as they do each 450 ms.
    const rest = [...all.slice(1), RoutedWorks.ident(n)];
    const turned = Weighings.of(() => {
      for (const ms of [1500, 1000]) {
        time.now += ms;
        rest.forEach(checkin);
      }
    });
    let turn = 0;
    return [
      one('names weighed a check-in, all of them new', 'count', first / n),
      one('names weighed a check-in after one went and one came', 'count', turned / n),
      one('all routers known to a new head', 'us', begin * 1000),
      one(
        'a check-in at the head',
        'us',
        Timed.us(() => checkin(rest[turn++ % n]!)),
      ),
      one(
        'all routers weighed, as one of the peers is gone',
        'us',
        Timed.us(() => RendezvousHash.top(all[turn++ % n]!.id, all, (o) => o.id, FEW)),
      ),
    ];
  },
};
