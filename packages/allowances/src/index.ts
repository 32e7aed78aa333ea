/** Allowances of client accounts over all hosts: decisions of their owners, and the client at entries. */
export * from './accountAllowances';
export * from './allowanceTable';
export * from './callAllowance';
export * from './keeperAllowances';
export * from './leaseTime';
