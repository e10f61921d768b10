import { Ident, VersionStamp, type Messenger } from '@pumicebarrow/forms';
import type { RecordStore, GossipNode } from '@pumicebarrow/purge';
import { Type } from 'typebox';

const strict = { additionalProperties: false } as const;
/** How one version of a document arrived: through which exchange (`via`), from which peer and origin. */
const Step = Type.Object(
  {
    name: Type.String(),
    mark: VersionStamp,
    via: Type.String(),
    from: Type.String(),
    origin: Type.String(),
    hops: Type.Integer(),
    age: Type.Number(),
    round: Type.Integer(),
    wall: Type.Number(),
  },
  strict,
);

/** Reports which shared documents a daemon holds and how each of them reached it. */
export const TraceService = {
  schemas: {
    request: Type.Object({ name: Type.Optional(Type.String()) }, strict),
    reply: Type.Object(
      {
        who: Ident,
        sure: Type.Optional(
          Type.Boolean({
            description: 'whether the daemon knows that its configuration is not older than one it had before',
          }),
        ),
        marks: Type.Array(Type.Object({ name: Type.String(), mark: VersionStamp }, strict)),
        steps: Type.Array(Step),
        count: Type.Record(Type.String(), Type.Number()),
      },
      strict,
    ),
  },
  make(
    post: Messenger,
    self: () => Ident,
    purge: GossipNode,
    recordStore: RecordStore,
    isCurrent: () => boolean,
  ): void {
    post.on('trace.tell', TraceService.schemas.request, (body) => ({
      who: self(),
      sure: isCurrent(),
      marks: [...recordStore.records().values()]
        .filter((d) => body.name === undefined || d.name === body.name)
        .map((d) => ({ name: d.name, mark: d.mark })),
      steps: purge.arrivals(body.name),
      count: purge.counters(),
    }));
  },
};
