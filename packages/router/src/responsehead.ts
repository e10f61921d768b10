/** Head of a model server's response. */
export type ResponseHead = {
  status: number;
  headers: readonly (readonly [string, string])[];
  /** Whether the body is a stream of events, which another server can continue, or plain bytes, which none can. */
  isEventStream: boolean;
};
