/** Settings and machines of the two small deployments, those of the site files. */

const TEAM_NAMES = ['00', '01', '02', '03', '04', '05'].map((number) => `stenodesk-${number}`);

/** Returns the settings. `team` holds guarantee and limit of each team, `guests` further teams. */
export const dublinSettings = ({ team = {}, guests = [] } = {}) => ({
  nodes: 3,
  zones: ['kildarehall'],
  time_bound_ms: 100,
  teams: [...TEAM_NAMES.map((name) => ({ name, ...team })), ...guests].map((given) => ({
    cpus: 0,
    cpus_max: 0,
    gpus: 0,
    gpus_max: 0,
    ...given,
  })),
  objectives: [
    { kind: 'wait', class: 'aligngang', within_s: 25, share: 0.88 },
    { kind: 'finished', class: 'clipsweep', within_s: 180, share: 0.8 },
  ],
  workers: { report_s: 3, lease_s: 18, gang_wait_s: 50, gang_peer_s: 6, cancel_s: 38 },
  state: { rps: 250, write_rps: 25, value_kb: 8, txn_ops: 16 },
  cloud: { rps: 4, list_lag_s: 6 },
  quota: { cores: 0.425, memory_mb: 242, max_sockets: 1500 },
});

export const DUBLIN_TYPES = [
  {
    Label: 'liffeybox',
    Vcpus: 64,
    Cards: 8,
    MemGb: 384,
    CacheGb: 150,
    FetchGbPerS: 0.5,
    Price: 28.76,
    LowPrice: 6.85,
    BootS: 50,
    Sites: ['kildarehall'],
  },
];

/** Returns the settings of atcd-convert-tn, with `workers` in place of some of its own, and a limit of its team. */
export const sfaxSettings = (workers = {}, cpusMax = 0) => ({
  nodes: 3,
  zones: ['sfaxport', 'tunislac'],
  time_bound_ms: 1000,
  teams: [{ name: 'secretariat', cpus: 0, cpus_max: cpusMax, gpus: 0, gpus_max: 0 }],
  objectives: [
    { kind: 'wait', class: 'layoutgang', within_s: 12, share: 0.85 },
    { kind: 'finished', class: 'ocrbatch', within_s: 150, share: 0.95 },
  ],
  workers: { report_s: 3, lease_s: 29, gang_wait_s: 40, gang_peer_s: 6, cancel_s: 59, ...workers },
  state: { rps: 90, write_rps: 35, value_kb: 8, txn_ops: 8 },
  cloud: { rps: 5, list_lag_s: 3 },
  quota: { cores: 0.51, memory_mb: 306, max_sockets: 3000 },
});

export const SFAX_TYPES = [
  {
    Label: 'kerkennanode',
    Vcpus: 24,
    Cards: 2,
    MemGb: 192,
    CacheGb: 60,
    FetchGbPerS: 0.8,
    Price: 6.5,
    LowPrice: 2.25,
    BootS: 50,
    Sites: ['sfaxport', 'tunislac'],
  },
];
