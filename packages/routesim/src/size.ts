/** How large a fleet is played. */
export type Size = {
  name: string;
  routers: number;
  keepers: number;
  losses: number;
  readers: number;
  decoders: number;
  /** Whether each keeper shares its machine with a router, and the seeds are routers. */
  shared?: boolean;
};
