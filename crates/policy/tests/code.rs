//! Numbers of result codes.

use chervilledge_policy::code::Code;

#[test]
fn numbers_are_strictly_increasing() {
    let numbers: Vec<u16> = Code::ALL.iter().map(|code| code.number()).collect();
    assert!(numbers.windows(2).all(|pair| pair[0] < pair[1]), "{numbers:?}");
}

#[test]
fn every_number_leads_back_to_its_code() {
    for code in Code::ALL {
        assert_eq!(Code::try_from(code.number()), Ok(*code));
    }
}
