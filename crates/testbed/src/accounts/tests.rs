use super::*;

#[test]
fn books_are_read_by_stand_and_whole() {
    let parts = ["lent", "repaid", "written_off", "owed", "part", "line"];
    let names = parts.map(|part| format!("lb_loan_{part}_milli{{stand=\"bus 7\"}}"));
    let mut figures: Told = names.into_iter().zip(1..).collect();
    let book = Book {
        lent: 1,
        repaid: 2,
        written_off: 3,
        owed: 4,
        part: 5,
        line: 6,
    };
    assert_eq!(books(&figures), Ok(vec![("bus 7", book)]));
    figures.remove("lb_loan_owed_milli{stand=\"bus 7\"}");
    assert!(books(&figures).is_err_and(|problem| problem.contains("lb_loan_owed_milli")));
}
