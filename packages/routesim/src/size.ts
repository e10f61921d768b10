/** How large a fleet is played. */
export type Size = {
  name: string;
  routers: number;
  replicas: number;
  losses: number;
  readers: number;
  decoders: number;
  /** The zone of each control replica, where they are not spread over two zones in turn. */
  zones?: readonly string[];
  /** Numbers of zones and of regions that may be lost at once; none if absent. */
  zoneLosses?: number;
  regionLosses?: number;
  /** The region of each zone. */
  regions?: Readonly<Record<string, string>>;
  /** Whether each control replica shares its machine with a router, and the seeds are routers. */
  shared?: boolean;
};
