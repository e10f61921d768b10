import { Type, type Static } from 'typebox';

/**
 * One step in the processing of a request by this daemon, at the wall-clock time `wall`. `at` is the server (for
 * `taken` the service); `word` is a further detail: the route, the server that holds the handle, or a result code.
 * `tokens` is the number of prompt tokens to prefill there; `ahead` is what is queued before it: tokens for a prefill,
 * runs for a run. The kinds of step are: `taken`: accepted; `queued`: waits for a free slot; `prefill`: prefill sent;
 * `handle`: prefill finished; `unread`: prefill failed; `beside`: prefill is left to the decode server; `run`: sent to
 * a decode server; `first`: first event received; `failed`: run failed; `done`: finished.
 */
export const RequestStep = Type.Object(
  {
    what: Type.Union([
      Type.Literal('taken'),
      Type.Literal('queued'),
      Type.Literal('prefill'),
      Type.Literal('handle'),
      Type.Literal('unread'),
      Type.Literal('beside'),
      Type.Literal('run'),
      Type.Literal('first'),
      Type.Literal('failed'),
      Type.Literal('done'),
    ]),
    wall: Type.Number(),
    at: Type.String(),
    word: Type.String(),
    tokens: Type.Number(),
    ahead: Type.Number(),
    why: Type.String(),
    tenant: Type.Optional(Type.String()),
  },
  { additionalProperties: false },
);
export type RequestStep = Static<typeof RequestStep>;
