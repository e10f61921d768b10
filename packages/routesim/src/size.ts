/** How large a fleet is played. */
export type Size = {
  name: string;
  routers: number;
  replicas: number;
  losses: number;
  readers: number;
  decoders: number;
  /** Whether each control replica shares its machine with a router, and the seeds are routers. */
  shared?: boolean;
};
