use super::*;

#[test]
fn accounts_are_read_by_tenant_and_complete() {
    let parts = ["lent", "repaid", "written_off", "owed", "part", "line"];
    let names = parts.map(|part| format!("lb_loan_{part}_milli{{stand=\"bus 7\"}}"));
    let mut metrics: Metrics = names.into_iter().zip(1..).collect();
    let account = LoanAccount {
        lent: 1,
        repaid: 2,
        written_off: 3,
        owed: 4,
        part: 5,
        line: 6,
    };
    assert_eq!(accounts(&metrics), Ok(vec![("bus 7", account)]));
    metrics.remove("lb_loan_owed_milli{stand=\"bus 7\"}");
    assert!(accounts(&metrics).is_err_and(|problem| problem.contains("lb_loan_owed_milli")));
}
