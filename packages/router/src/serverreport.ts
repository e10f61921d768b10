/**
 * State that a server reported about itself; it may be some hundred ms old. `orders` is the server's own count of stage
 * orders; `used` and `capacity` are KV cache tokens; `handles` are the prefill handles that it holds.
 */
export type ServerReport = {
  stage: 'prefill' | 'decode';
  busy: boolean;
  orders: number;
  queued: number;
  active: number;
  used: number;
  capacity: number;
  handles: number;
};
